package upkeep_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/upkeep"
)

// newService returns machines that run a service of which one task may be unavailable.
func newService(n int) *fakeMachines {
	f := newFakeMachines(n)
	f.budget = 1
	for _, m := range f.list {
		f.runs[m.Worker] = 1
		f.service = append(f.service, m.Worker)
	}
	return f
}

// Each of four machines runs a task of a service of which one may be unavailable, and two
// machines of a wave may be down at once. The orders of one pass must share the budget of the
// service, and so must those of the passes until the machine is back (AVAIL, review/5).
func TestOrdersOfOnePassShareTheBudget(t *testing.T) {
	c := qt.New(t)
	f := newService(4)
	p := upkeep.New(2 * second)
	p.AddWave(0, upkeep.Wave{Number: 1, Machines: ids(f), Within: 5 * second, MaxDown: 2})
	now := time.Duration(0)
	for ; p.Active() && now < 60*second; now += 500 * time.Millisecond {
		down := f.tick(now)
		p.SetMachines(now, f.list)
		orders, _ := p.Plan(now, f)
		c.Assert(down+len(orders) <= 1, qt.IsTrue, qt.Commentf("%v at %s with %d machines down", orders, now, down))
		for _, o := range orders {
			f.find(o.Machine).State = upkeep.Down
			f.backAt[o.Machine] = now + 2*second
			p.RecordOutcome(now, o, upkeep.Begun)
		}
	}
	c.Assert(p.Active(), qt.IsFalse)
}

// Two waves name machines of the same service. Their orders share its budget.
func TestOrdersOfTwoWavesShareTheBudget(t *testing.T) {
	c := qt.New(t)
	f := newService(2)
	p := upkeep.New(2 * second)
	p.AddWave(0, upkeep.Wave{Number: 1, Machines: []string{"m0"}, Within: time.Second, MaxDown: 1})
	p.AddWave(0, upkeep.Wave{Number: 2, Machines: []string{"m1"}, Within: time.Second, MaxDown: 1})
	p.SetMachines(0, f.list)
	orders, _ := p.Plan(0, f)
	c.Assert(orders, qt.HasLen, 1)
}

// An earlier owner ordered a machine down and recorded nothing of it. The next owner finds it
// in the list, and must count its task as unavailable.
func TestOrdersOfEarlierOwnersCountForTheBudget(t *testing.T) {
	c := qt.New(t)
	f := newService(2)
	f.find("m0").State = upkeep.Down
	p := upkeep.New(2 * second)
	p.AddWave(0, upkeep.Wave{Number: 1, Machines: ids(f), Within: time.Second, MaxDown: 2})
	p.SetMachines(0, f.list)
	orders, _ := p.Plan(0, f)
	c.Assert(orders, qt.HasLen, 0)
}

// An order without an answer may not have been carried out. It is not repeated while that would
// end a second task of a service.
func TestRepeatedOrdersRespectTheBudget(t *testing.T) {
	c := qt.New(t)
	f := newService(2)
	p := upkeep.New(2 * second)
	p.AddWave(0, upkeep.Wave{Number: 1, Machines: []string{"m0"}, Within: time.Second, MaxDown: 1})
	p.SetMachines(0, f.list)
	orders, _ := p.Plan(0, f)
	c.Assert(orders, qt.HasLen, 1)
	p.RecordOutcome(0, orders[0], upkeep.Unknown)
	f.find("m1").State = upkeep.Down
	for now := time.Second; now < 6*second; now += time.Second {
		p.SetMachines(now, f.list)
		repeated, _ := p.Plan(now, f)
		c.Assert(repeated, qt.HasLen, 0)
	}
	f.find("m1").State = upkeep.Up
	p.SetMachines(6*second, f.list)
	repeated, _ := p.Plan(6*second, f)
	c.Assert(repeated, qt.DeepEquals, orders)
}

// The operator is told that a wave waits, once, and that it goes on.
func TestProgressTellsWhatBlocksAWave(t *testing.T) {
	c := qt.New(t)
	f := newService(1)
	f.budget = 0
	p := upkeep.New(2 * second)
	p.AddWave(0, upkeep.Wave{Number: 1, Machines: ids(f), Within: time.Second, MaxDown: 1})
	p.Changes()
	p.SetMachines(0, f.list)
	p.Plan(0, f)
	changes := p.Changes()
	c.Assert(changes, qt.HasLen, 1)
	c.Assert(changes[0].Blocked, qt.DeepEquals, []string{"m0"})
	p.Plan(second, f)
	c.Assert(p.Changes(), qt.HasLen, 0)
	f.budget = 1
	orders, _ := p.Plan(2*second, f)
	c.Assert(orders, qt.HasLen, 1)
	p.RecordOutcome(2*second, orders[0], upkeep.Begun)
	c.Assert(p.Changes()[0].Blocked, qt.HasLen, 0)
}

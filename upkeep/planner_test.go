package upkeep_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/vanillaquay/vanillaquay/upkeep"
)

const second = time.Second

// fakeMachines is a set of machines with the runs on them.
type fakeMachines struct {
	list   []upkeep.Machine
	runs   map[string]int
	pinned map[string]bool
	backAt map[string]time.Duration
	// service holds the workers that run the tasks of a service, one each, of which budget
	// may be unavailable.
	service []string
	budget  int
}

func newFakeMachines(n int) *fakeMachines {
	f := &fakeMachines{runs: map[string]int{}, pinned: map[string]bool{}, backAt: map[string]time.Duration{}}
	for i := range n {
		f.list = append(f.list, upkeep.Machine{ID: fmt.Sprintf("m%d", i), Worker: fmt.Sprintf("w%d", i), State: upkeep.Up})
	}
	return f
}

func (f *fakeMachines) Runs(worker string) int { return f.runs[worker] }
func (f *fakeMachines) MayEnd(worker string, isUp func(worker string) bool) bool {
	unavailable := 0
	for _, other := range f.service {
		if other != worker && !isUp(other) {
			unavailable++
		}
	}
	return !f.pinned[worker] && (!slices.Contains(f.service, worker) || unavailable+1 <= f.budget)
}
func (f *fakeMachines) find(id string) *upkeep.Machine {
	for i := range f.list {
		if f.list[i].ID == id {
			return &f.list[i]
		}
	}
	return nil
}

// tick brings machines back up whose upkeep is over, and returns the number of those that
// are down.
func (f *fakeMachines) tick(now time.Duration) (down int) {
	for i := range f.list {
		if f.list[i].State == upkeep.Down && now >= f.backAt[f.list[i].ID] {
			f.list[i].State = upkeep.Up
		}
		if f.list[i].State == upkeep.Down {
			down++
		}
	}
	return down
}

func ids(f *fakeMachines) []string {
	var list []string
	for _, m := range f.list {
		list = append(list, m.ID)
	}
	return list
}

func TestWaveFinishesInTime(t *testing.T) {
	f := newFakeMachines(6)
	f.runs["w0"] = 3
	p := upkeep.New(2 * second)
	p.AddWave(0, upkeep.Wave{Number: 1, Machines: ids(f), Within: 30 * second, MaxDown: 2})
	order := []string{}
	now := time.Duration(0)
	for ; p.Active() && now < 60*second; now += 500 * time.Millisecond {
		f.tick(now)
		p.SetMachines(now, f.list)
		orders, _ := p.Plan(now, f)
		for _, o := range orders {
			f.find(o.Machine).State = upkeep.Down
			f.backAt[o.Machine] = now + 2*second
			p.RecordOutcome(now, o, upkeep.Begun)
			order = append(order, o.Machine)
		}
		qt.Assert(t, f.tick(now) <= 2, qt.IsTrue)
	}
	qt.Assert(t, now < 30*second, qt.IsTrue)
	qt.Assert(t, order, qt.HasLen, 6)
	// The machine with runs on it goes last.
	qt.Assert(t, order[5], qt.Equals, "m0")
	changes := p.Changes()
	qt.Assert(t, changes[len(changes)-1].Done, qt.IsTrue)
}

// A machine is not taken down while its tasks must not be stopped.
func TestMachineWithIndispensableTasksStaysUp(t *testing.T) {
	f := newFakeMachines(1)
	f.runs["w0"], f.pinned["w0"] = 1, true
	p := upkeep.New(2 * second)
	p.AddWave(0, upkeep.Wave{Number: 1, Machines: ids(f), Within: 5 * second, MaxDown: 1})
	for now := time.Duration(0); now < 30*second; now += second {
		p.SetMachines(now, f.list)
		orders, reserved := p.Plan(now, f)
		qt.Assert(t, orders, qt.HasLen, 0)
		qt.Assert(t, reserved, qt.DeepEquals, []string{"w0"})
	}
}

// A new owner counts the machines whose upkeep has begun as down until a list that it
// requested itself shows them as up.
func TestRestoredWaveRespectsMaxDown(t *testing.T) {
	f := newFakeMachines(3)
	p := upkeep.New(2 * second)
	p.AddWave(0, upkeep.Wave{Number: 1, Machines: ids(f), Within: 30 * second, MaxDown: 1})
	p.Restore(0, upkeep.Progress{Wave: 1, Begun: []string{"m1"}})
	p.SetMachines(0, f.list)
	orders, _ := p.Plan(0, f)
	qt.Assert(t, orders, qt.HasLen, 0)
	p.SetMachines(3*second, f.list)
	orders, _ = p.Plan(3*second, f)
	qt.Assert(t, orders, qt.DeepEquals, []upkeep.Order{{Wave: 1, Machine: "m0"}})
}

// Whatever the outcomes of orders, no more machines are down than a wave allows, and no
// wave is done before each machine has had its upkeep.
func TestWavesWithRandomOutcomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFakeMachines(rapid.IntRange(1, 8).Draw(t, "machines"))
		maxDown := rapid.IntRange(1, 3).Draw(t, "most")
		p := upkeep.New(2 * second)
		p.AddWave(0, upkeep.Wave{Number: 1, Machines: ids(f), Within: 20 * second, MaxDown: maxDown})
		hadUpkeep := map[string]bool{}
		for now := time.Duration(0); now < 200*second && p.Active(); now += 500 * time.Millisecond {
			f.tick(now)
			p.SetMachines(now, f.list)
			orders, _ := p.Plan(now, f)
			for _, o := range orders {
				m := f.find(o.Machine)
				answer := rapid.SampledFrom([]upkeep.Outcome{upkeep.Begun, upkeep.Begun, upkeep.Busy, upkeep.Unknown}).Draw(t, "answer")
				carriedOut := answer == upkeep.Begun || answer == upkeep.Unknown && rapid.Bool().Draw(t, "carried out")
				if carriedOut && !hadUpkeep[m.ID] {
					hadUpkeep[m.ID] = true
					m.State, f.backAt[m.ID] = upkeep.Down, now+2*second
					if down := f.tick(now); down > maxDown {
						t.Fatalf("LIMIT: %d machines are down", down)
					}
				}
				p.RecordOutcome(now, o, answer)
			}
		}
		if p.Active() {
			t.Fatalf("the wave is not done")
		}
		if len(hadUpkeep) != len(f.list) {
			t.Fatalf("MIXED: done with %d of %d machines", len(hadUpkeep), len(f.list))
		}
	})
}

package decision_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/task"
)

// accelerated is work that fits only the workers of rack "gpu".
func accelerated() task.Work {
	w := smallWork(task.Batch, 0)
	w.Size.Accelerators = 1
	return w
}

// withAccelerators returns a cell that has been known for long, with one more rack
// that has accelerators.
func withAccelerators() (*cell, *rack.Rack) {
	c := newCell(8)
	gpu := rack.New("gpu", "austral", "z9", 1)
	gpu.SetWorker("gpu-0", rack.Up, task.Size{Processors: 64_000, Memory: 256 * task.Gibibyte, Accelerators: 4, Slots: 64, Connections: 64})
	c.racks["gpu"] = gpu
	c.apply(decision.DigestChanged{Digest: gpu.Digest()})
	c.tickOn(2 * decision.DefaultDiscoveryPeriod)
	return c, gpu
}

// waits submits work and checks that it is not answered for a while.
func (c *cell) waits(t *testing.T, w task.Work, length time.Duration) uint64 {
	t.Helper()
	n := c.submit(w)
	c.tickOn(length)
	a, answered := c.replies[n]
	qt.Assert(t, answered, qt.IsFalse, qt.Commentf("%+v", a))
	return n
}

// TestWorkerUnheardByANewOwnerStillCounts tells a digest of the next epoch, whose
// owner has not heard the worker yet.
func TestWorkerUnheardByANewOwnerStillCounts(t *testing.T) {
	c, gpu := withAccelerators()
	d := gpu.Digest()
	d.Epoch++
	d.Workers[0] = rack.WorkerSummary{ID: "gpu-0", State: rack.Syncing}
	c.apply(decision.DigestChanged{Digest: d})
	n := c.waits(t, accelerated(), time.Hour)
	d.Sequence++
	d.Workers = gpu.Digest().Workers
	c.racks["gpu"] = rack.New("gpu", "austral", "z9", 2)
	c.racks["gpu"].SetWorker("gpu-0", rack.Up, d.Workers[0].Capacity)
	c.apply(decision.DigestChanged{Digest: d})
	c.tickOn(time.Second)
	qt.Assert(t, c.running, qt.HasLen, 1, qt.Commentf("%+v", c.replies[n]))
}

// TestRackOutOfReachStillCounts cuts the rack off. After two hours it counts as
// lost: new work is told so, and what was accepted waits on.
func TestRackOutOfReachStillCounts(t *testing.T) {
	c, _ := withAccelerators()
	c.apply(decision.RackUnreachable{Rack: "gpu"})
	accepted := c.waits(t, accelerated(), time.Hour)
	c.tickOn(time.Hour)
	n := c.submit(accelerated())
	qt.Assert(t, c.replies[n].Code, qt.Equals, decision.CodeNeverFits)
	qt.Assert(t, c.replies[accepted].State, qt.Equals, task.State(""))
}

// TestRackThatLeftDoesNotCount takes the rack out of the cell.
func TestRackThatLeftDoesNotCount(t *testing.T) {
	for _, gone := range [][]decision.Event{
		{decision.RackRemoved{Rack: "gpu"}},
		{decision.RackUnreachable{Rack: "gpu"}, decision.RackRemoved{Rack: "gpu"}},
		{decision.RackUnreachable{Rack: "gpu"}, decision.RacksListed{Racks: []string{"r0000"}}},
	} {
		c, _ := withAccelerators()
		for _, e := range gone {
			c.apply(e)
		}
		n := c.submit(accelerated())
		qt.Assert(t, c.replies[n].Code, qt.Equals, decision.CodeNeverFits)
	}
}

// TestListedRackIsWaitedFor lists a rack of which no digest has come.
func TestListedRackIsWaitedFor(t *testing.T) {
	c := newCell(8)
	c.tickOn(2 * decision.DefaultDiscoveryPeriod)
	c.apply(decision.RacksListed{Racks: []string{"r0000", "gpu"}})
	n := c.waits(t, accelerated(), time.Hour)
	// Other work is placed meanwhile.
	c.submit(smallWork(task.Batch, 0))
	qt.Assert(t, c.running, qt.HasLen, 1)
	c.apply(decision.RacksListed{Racks: []string{"r0000"}})
	c.tickOn(2 * decision.DefaultDiscoveryPeriod)
	qt.Assert(t, c.replies[n].Code, qt.Equals, decision.CodeNeverFits)
}

// TestWorkerNeverHeardIsWaitedForAMinute lists a worker that no owner has heard.
func TestWorkerNeverHeardIsWaitedForAMinute(t *testing.T) {
	c := newCell(8)
	c.racks["r0000"].SetWorker("silent", rack.Syncing, task.Size{})
	c.apply(decision.DigestChanged{Digest: c.racks["r0000"].Digest()})
	n := c.waits(t, accelerated(), 50*time.Second)
	c.tickOn(20 * time.Second)
	qt.Assert(t, c.replies[n].Code, qt.Equals, decision.CodeNeverFits)
}

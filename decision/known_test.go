package decision_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/task"
)

// accelerated returns work that fits only the worker of rack "gpu".
func accelerated() task.Work {
	w := smallWork(task.Batch, 0)
	w.Size.Accelerators = 1
	return w
}

// newAcceleratorCell returns a cell whose discovery period is over, with an
// additional rack that has accelerators.
func newAcceleratorCell() (*cell, *rack.Rack) {
	c := newCell(8)
	gpu := rack.New("gpu", "austral", "z9", 1)
	gpu.SetWorker("gpu-0", rack.Up, task.Size{Processors: 64_000, Memory: 256 * task.Gibibyte, Accelerators: 4, Slots: 64, Connections: 64})
	c.racks["gpu"] = gpu
	c.apply(decision.DigestChanged{Digest: gpu.Digest()})
	c.advance(2 * decision.DefaultDiscoveryPeriod)
	return c, gpu
}

// submitUnanswered submits work and checks that it is not answered within the
// given time.
func (c *cell) submitUnanswered(t *testing.T, w task.Work, length time.Duration) uint64 {
	t.Helper()
	n := c.submit(w)
	c.advance(length)
	a, answered := c.replies[n]
	qt.Assert(t, answered, qt.IsFalse, qt.Commentf("%+v", a))
	return n
}

// TestWorkerUnknownToNewOwnerStillCounts guards against refusing work as never
// fitting because the new owner of a rack has not heard from the only worker
// that fits.
func TestWorkerUnknownToNewOwnerStillCounts(t *testing.T) {
	c, gpu := newAcceleratorCell()
	d := gpu.Digest()
	d.Epoch++
	d.Workers[0] = rack.WorkerSummary{ID: "gpu-0", State: rack.Syncing}
	c.apply(decision.DigestChanged{Digest: d})
	n := c.submitUnanswered(t, accelerated(), time.Hour)
	d.Sequence++
	d.Workers = gpu.Digest().Workers
	c.racks["gpu"] = rack.New("gpu", "austral", "z9", 2)
	c.racks["gpu"].SetWorker("gpu-0", rack.Up, d.Workers[0].Capacity)
	c.apply(decision.DigestChanged{Digest: d})
	c.advance(time.Second)
	qt.Assert(t, c.running, qt.HasLen, 1, qt.Commentf("%+v", c.replies[n]))
}

// TestUnreachableRackStillCounts guards against refusing work as never fitting
// while the only rack that fits is unreachable. After two hours the rack counts
// as lost: new work is refused, and accepted work keeps waiting.
func TestUnreachableRackStillCounts(t *testing.T) {
	c, _ := newAcceleratorCell()
	c.apply(decision.RackUnreachable{Rack: "gpu"})
	accepted := c.submitUnanswered(t, accelerated(), time.Hour)
	c.advance(time.Hour)
	n := c.submit(accelerated())
	qt.Assert(t, c.replies[n].Code, qt.Equals, decision.CodeNeverFits)
	qt.Assert(t, c.replies[accepted].State, qt.Equals, task.State(""))
}

// TestRemovedRackDoesNotCount checks that work that fits only a removed rack is
// refused.
func TestRemovedRackDoesNotCount(t *testing.T) {
	for _, removal := range [][]decision.Event{
		{decision.RackRemoved{Rack: "gpu"}},
		{decision.RackUnreachable{Rack: "gpu"}, decision.RackRemoved{Rack: "gpu"}},
		{decision.RackUnreachable{Rack: "gpu"}, decision.RacksListed{Racks: []string{"r0000"}}},
	} {
		c, _ := newAcceleratorCell()
		for _, e := range removal {
			c.apply(e)
		}
		n := c.submit(accelerated())
		qt.Assert(t, c.replies[n].Code, qt.Equals, decision.CodeNeverFits)
	}
}

// TestWorkWaitsForListedRack checks that work that fits no known worker waits
// while a listed rack has sent no digest.
func TestWorkWaitsForListedRack(t *testing.T) {
	c := newCell(8)
	c.advance(2 * decision.DefaultDiscoveryPeriod)
	c.apply(decision.RacksListed{Racks: []string{"r0000", "gpu"}})
	n := c.submitUnanswered(t, accelerated(), time.Hour)
	// Other work is placed meanwhile.
	c.submit(smallWork(task.Batch, 0))
	qt.Assert(t, c.running, qt.HasLen, 1)
	c.apply(decision.RacksListed{Racks: []string{"r0000"}})
	c.advance(2 * decision.DefaultDiscoveryPeriod)
	qt.Assert(t, c.replies[n].Code, qt.Equals, decision.CodeNeverFits)
}

// TestWorkWaitsAMinuteForUnknownCapacity lists a worker that has never reported
// its capacity.
func TestWorkWaitsAMinuteForUnknownCapacity(t *testing.T) {
	c := newCell(8)
	c.racks["r0000"].SetWorker("silent", rack.Syncing, task.Size{})
	c.apply(decision.DigestChanged{Digest: c.racks["r0000"].Digest()})
	n := c.submitUnanswered(t, accelerated(), 50*time.Second)
	c.advance(20 * time.Second)
	qt.Assert(t, c.replies[n].Code, qt.Equals, decision.CodeNeverFits)
}

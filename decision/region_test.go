package decision_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/task"
)

// localWorkers is the number of workers in the driver's region.
const localWorkers = 8

// newTwoRegionCell returns a cell with one rack in the driver's region and one
// in another, whose workers have the given processors.
func newTwoRegionCell(processors int64) *cell {
	c := newCell(localWorkers)
	far := rack.New("a0000", "austral", "z9", 1)
	for k := range localWorkers {
		far.SetWorker(fmt.Sprintf("a0000-%d", k), rack.Up,
			task.Size{Processors: processors, Memory: 256 * task.Gibibyte, Slots: 64, Connections: 64})
	}
	c.racks["a0000"] = far
	c.apply(decision.DigestChanged{Digest: far.Digest()})
	return c
}

// foreignCount returns the number of running attempts outside of the driver's
// region.
func (c *cell) foreignCount() int {
	n := 0
	for _, a := range c.running {
		if a.Rack == "a0000" {
			n++
		}
	}
	return n
}

// TestOwnRegionIsFilledFirst fills the driver's region with work of each kind
// and then submits more. The workers of the other region would be preferred by
// fit (16 cores) or by spread (128 cores).
func TestOwnRegionIsFilledFirst(t *testing.T) {
	for _, test := range []struct {
		kind       task.Kind
		urgent     bool
		tasks      int
		processors int64
	}{
		{task.Batch, false, 1, 16_000},
		{task.Batch, false, 8, 16_000},
		{task.AllAtOnce, false, 8, 16_000},
		{task.Request, false, 1, 16_000},
		{task.Request, true, 1, 16_000},
		{task.Service, false, 1, 128_000},
		{task.Service, false, 8, 128_000},
	} {
		t.Run(fmt.Sprintf("%s%dUrgent%t", test.kind, test.tasks, test.urgent), func(t *testing.T) {
			c := newTwoRegionCell(test.processors)
			w := smallWork(test.kind, 0)
			w.Urgent, w.Tasks, w.Size.Processors = test.urgent, test.tasks, 16_000
			const room = localWorkers * 4
			for range room / test.tasks {
				c.submit(w)
			}
			qt.Check(t, len(c.running), qt.Equals, room)
			qt.Check(t, c.foreignCount(), qt.Equals, 0)
			for range localWorkers / test.tasks {
				c.submit(w)
			}
			qt.Check(t, c.foreignCount(), qt.Equals, localWorkers)
		})
	}
}

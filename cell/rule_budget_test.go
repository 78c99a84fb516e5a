package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/workload"
)

// failing returns a world in which a job of a queue with two attempts has failed once.
func failing(c *qt.C) *world {
	w := newWorld(2)
	w.submit(job(id(1), "Twice", 2, nil))
	w.fail(1)
	w.pass(second)
	c.Assert(w.states[id(1)], qt.Equals, workload.Running)
	return w
}

// fail ends all runs of a number as failed.
func (w *world) fail(run int) {
	for _, f := range w.workers {
		for i := len(f.running) - 1; i >= 0; i-- {
			if r := f.running[i]; r.Run == run {
				f.end(r.Task, r.Run, cell.EndedFailed)
			}
		}
	}
	w.reportAll()
}

// BUDGET: no run starts after the last failure that a queue allows, however long it takes.
func TestTaskStartsNoMoreOftenThanItMayFail(t *testing.T) {
	c := qt.New(t)
	w := failing(c)
	w.fail(2)
	w.pass(10 * second)
	c.Assert(w.states[id(1)], qt.Equals, workload.Failed)
	c.Assert(w.starts, qt.HasLen, 4)
}

// BUDGET: a gang fails as one, whichever of its members do.
func TestGangStartsNoMoreOftenThanItMayFail(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2)
	w.submit(job(id(1), "Twice", 2, func(s *workload.Step) { s.Gang = true }))
	w.endOne(w.starts[0].Task, cell.EndedFailed)
	w.pass(second)
	c.Assert(w.starts, qt.HasLen, 4)
	w.endOne(w.starts[1].Task, cell.EndedFailed)
	w.pass(10 * second)
	c.Assert(w.states[id(1)], qt.Equals, workload.Failed)
	c.Assert(w.starts, qt.HasLen, 4)
}

// BUDGET: the next owner counts the failures under the earlier one.
func TestNextOwnerCountsEarlierFailures(t *testing.T) {
	c := qt.New(t)
	earlier := failing(c)
	w := newWorld(2)
	w.now, w.workers = earlier.now, earlier.workers
	w.Restore(w.now, w.now+second, earlier.jobs[id(1)], earlier.progress[id(1)])
	w.reportAll()
	w.fail(2)
	w.pass(10 * second)
	c.Assert(w.states[id(1)], qt.Equals, workload.Failed)
	c.Assert(w.starts, qt.HasLen, 0)
}

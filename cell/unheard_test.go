package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// lapsed returns a world in which the run of a job on w0 counts as lapsed, as its worker
// was not heard, though it has ended. Without room on w1 the job waits.
func lapsed(c *qt.C, room bool) *world {
	w := newWorld(1)
	w.submit(job(id(1), "Plain", 1, func(s *workload.Step) { s.Size.Processors = 8 * task.Processor }))
	c.Assert(w.startedOn(id(1)), qt.DeepEquals, []string{"w0"})
	w.workers["w0"].silent = true
	w.addWorker("w1", "r0")
	w.reportAll()
	if !room {
		w.submit(job(id(2), "Plain", 1, func(s *workload.Step) { s.Size.Processors = 8 * task.Processor }))
	}
	w.pass(6 * second)
	w.workers["w0"].endAll(cell.EndedDone)
	w.workers["w0"].silent = false
	return w
}

// The worker was only not heard, for longer than a lease, as by an owner without processor
// time. Its run has ended as done: the task must not run again once the worker forgets it.
func TestEndOfARunThatCountsAsLapsed(t *testing.T) {
	c := qt.New(t)
	w := lapsed(c, false)
	w.reportAll()
	c.Assert(w.states[id(1)], qt.Equals, workload.Done)
	w.pass(5 * second)
	c.Assert(w.startedOn(id(1)), qt.HasLen, 1)
}

// The task runs again by then: that run is in vain.
func TestEndOfARunThatWasReplaced(t *testing.T) {
	c := qt.New(t)
	w := lapsed(c, true)
	c.Assert(w.startedOn(id(1)), qt.DeepEquals, []string{"w0", "w1"})
	w.reportAll()
	c.Assert(w.states[id(1)], qt.Equals, workload.Done)
	c.Assert(w.stops, qt.HasLen, 1)
	c.Assert(w.stops[0].Worker.ID, qt.Equals, "w1")
}

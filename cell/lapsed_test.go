package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// lapsedRun returns a world in which the run of a job on w0 counts as lapsed because no
// report arrived, though it has ended as done. If hasCapacity is set, the job runs again on
// w1; otherwise it waits.
func lapsedRun(c *qt.C, hasCapacity bool) *world {
	w := newWorld(1)
	w.submit(job(id(1), "Plain", 1, func(s *workload.Step) { s.Size.Processors = 8 * task.Processor }))
	c.Assert(w.startedOn(id(1)), qt.DeepEquals, []string{"w0"})
	w.workers["w0"].unresponsive = true
	w.addWorker("w1", "r0")
	w.reportAll()
	if !hasCapacity {
		w.submit(job(id(2), "Plain", 1, func(s *workload.Step) { s.Size.Processors = 8 * task.Processor }))
	}
	w.advance(6 * second)
	w.workers["w0"].endAll(cell.EndedDone)
	w.workers["w0"].unresponsive = false
	return w
}

// No report of the worker arrived for longer than a lease, as when the owner gets no
// processor time. Its run ended as done: the task must not run again after the worker forgets
// the run.
func TestEndOfLapsedRunFinishesItsTask(t *testing.T) {
	c := qt.New(t)
	w := lapsedRun(c, false)
	w.reportAll()
	c.Assert(w.states[id(1)], qt.Equals, workload.Done)
	w.advance(5 * second)
	c.Assert(w.startedOn(id(1)), qt.HasLen, 1)
}

// The task already runs again when the end of the first run is reported: the second run is
// stopped.
func TestEndOfLapsedRunStopsItsReplacement(t *testing.T) {
	c := qt.New(t)
	w := lapsedRun(c, true)
	c.Assert(w.startedOn(id(1)), qt.DeepEquals, []string{"w0", "w1"})
	w.reportAll()
	c.Assert(w.states[id(1)], qt.Equals, workload.Done)
	c.Assert(w.stops, qt.HasLen, 1)
	c.Assert(w.stops[0].Worker.ID, qt.Equals, "w1")
}

package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// failedOnce returns a world in which the tasks of a job with two attempts have failed once.
func failedOnce(c *qt.C) *world {
	w := newWorld(2)
	w.submit(job(id(1), "Twice", 2, nil))
	w.failRuns(1)
	w.advance(second)
	c.Assert(w.states[id(1)], qt.Equals, workload.Running)
	return w
}

// failRuns ends all runs with a number as failed.
func (w *world) failRuns(run int) {
	for _, f := range w.workers {
		for i := len(f.running) - 1; i >= 0; i-- {
			if r := f.running[i]; r.Run == run {
				f.end(r.Task, r.Run, cell.EndedFailed)
			}
		}
	}
	w.reportAll()
}

// BUDGET: no run starts after the last failure that a queue allows, however much time passes.
func TestTaskDoesNotStartAfterItsLastAttempt(t *testing.T) {
	c := qt.New(t)
	w := failedOnce(c)
	w.failRuns(2)
	w.advance(10 * second)
	c.Assert(w.states[id(1)], qt.Equals, workload.Failed)
	c.Assert(w.starts, qt.HasLen, 4)
}

// BUDGET: each failed run of a gang counts once, whichever of its members fail.
func TestGangDoesNotStartAfterItsLastAttempt(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2)
	w.submit(job(id(1), "Twice", 2, func(s *workload.Step) { s.Gang = true }))
	w.endTask(w.starts[0].Task, cell.EndedFailed)
	w.advance(second)
	c.Assert(w.starts, qt.HasLen, 4)
	w.endTask(w.starts[1].Task, cell.EndedFailed)
	w.advance(10 * second)
	c.Assert(w.states[id(1)], qt.Equals, workload.Failed)
	c.Assert(w.starts, qt.HasLen, 4)
}

// BUDGET: the next owner counts the failures under the earlier one.
func TestNextOwnerCountsEarlierFailures(t *testing.T) {
	c := qt.New(t)
	earlier := failedOnce(c)
	w := newWorld(2)
	w.now, w.workers = earlier.now, earlier.workers
	w.Restore(w.now, w.now+second, earlier.jobs[id(1)], earlier.progress[id(1)])
	w.reportAll()
	w.failRuns(2)
	w.advance(10 * second)
	c.Assert(w.states[id(1)], qt.Equals, workload.Failed)
	c.Assert(w.starts, qt.HasLen, 0)
}

// BUDGET: the members of a gang fail together, and an owner fails after it has counted the first.
// The next owner must not count the failure of the same run again, or the job fails too soon.
func TestNextOwnerCountsOneFailureOfAGangsRun(t *testing.T) {
	c := qt.New(t)
	earlier := newWorld(2)
	earlier.submit(job(id(1), "Twice", 2, func(s *workload.Step) {
		s.Gang, s.Size.Processors, s.Estimate = true, 8*task.Processor, 20*second
	}))
	c.Assert(earlier.runningCount(), qt.Equals, 2)
	earlier.workers["w1"].unresponsive = true
	earlier.workers["w0"].endAll(cell.EndedFailed)
	earlier.now += 100 * ms
	earlier.reportAll()
	w := newWorld(2)
	w.now, w.workers = earlier.now, earlier.workers
	w.Restore(w.now, w.now+second, earlier.jobs[id(1)], earlier.progress[id(1)])
	w.workers["w1"].unresponsive = false
	w.workers["w1"].endAll(cell.EndedFailed)
	w.reportAll()
	w.advance(2 * second)
	c.Check(w.states[id(1)], qt.Equals, workload.Running)
	c.Check(w.starts, qt.HasLen, 2)
}

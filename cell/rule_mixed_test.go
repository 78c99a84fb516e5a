package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/workload"
)

// MIXED: a job is done once the last task of its last occurrence is done, and not before.
func TestJobIsDoneOnceAllTasksAreDone(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2)
	j := chain(id(1), 2, 1)
	j.Schedule = workload.Schedule{Count: 2, First: w.now.Milliseconds(), Interval: 5000}
	w.submit(j)
	task := func(occurrence, step, index int) workload.TaskID {
		return workload.TaskID{StepID: workload.StepID{Job: j.ID, Occurrence: occurrence, Step: step}, Index: index}
	}
	// No task runs before the second occurrence is due.
	for _, next := range []workload.TaskID{task(0, 0, 0), task(0, 0, 1), task(0, 1, 0)} {
		w.endTask(next, cell.EndedDone)
		c.Assert(w.states[j.ID], qt.Equals, workload.Running)
	}
	c.Assert(w.runningCount(), qt.Equals, 0)
	w.advance(5 * second)
	for _, next := range []workload.TaskID{task(1, 0, 1), task(1, 0, 0)} {
		w.endTask(next, cell.EndedDone)
		c.Assert(w.states[j.ID], qt.Equals, workload.Running)
	}
	w.endTask(task(1, 1, 0), cell.EndedStopped)
	c.Assert(w.states[j.ID], qt.Equals, workload.Running)
	w.advance(second)
	w.endTask(task(1, 1, 0), cell.EndedDone)
	c.Assert(w.states[j.ID], qt.Equals, workload.Done)
}

// MIXED: a service runs until it is cancelled, however its tasks end.
func TestServiceIsNeverDone(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2)
	w.submit(job(id(1), "Twice", 1, func(s *workload.Step) { s.Daemon = true }))
	for n, outcome := range []cell.Outcome{cell.EndedDone, cell.EndedFailed, cell.EndedFailed, cell.EndedFailed, cell.EndedLapsed} {
		c.Assert(w.starts, qt.HasLen, 1+n)
		w.endTask(w.starts[n].Task, outcome)
		w.advance(second)
		c.Assert(w.states[id(1)], qt.Equals, workload.Running)
	}
	c.Assert(w.starts, qt.HasLen, 6)
}

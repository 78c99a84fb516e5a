package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/workload"
)

// MIXED: a job is done once the last task of its last occurrence is, and not before.
func TestJobIsDoneOnceAllOfItIs(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2)
	j := chain(id(1), 2, 1)
	j.Schedule = workload.Schedule{Count: 2, First: w.now.Milliseconds(), Interval: 5000}
	w.submit(j)
	task := func(occurrence, step, index int) workload.TaskID {
		return workload.TaskID{StepID: workload.StepID{Job: j.ID, Occurrence: occurrence, Step: step}, Index: index}
	}
	// None of the tasks runs while the second occurrence isn't due.
	for _, next := range []workload.TaskID{task(0, 0, 0), task(0, 0, 1), task(0, 1, 0)} {
		w.endOne(next, cell.EndedDone)
		c.Assert(w.states[j.ID], qt.Equals, workload.Running)
	}
	c.Assert(w.runningAll(), qt.Equals, 0)
	w.pass(5 * second)
	for _, next := range []workload.TaskID{task(1, 0, 1), task(1, 0, 0)} {
		w.endOne(next, cell.EndedDone)
		c.Assert(w.states[j.ID], qt.Equals, workload.Running)
	}
	w.endOne(task(1, 1, 0), cell.EndedStopped)
	c.Assert(w.states[j.ID], qt.Equals, workload.Running)
	w.pass(second)
	w.endOne(task(1, 1, 0), cell.EndedDone)
	c.Assert(w.states[j.ID], qt.Equals, workload.Done)
}

// MIXED: a service lasts until it is cancelled, however its tasks end.
func TestServiceIsNeverDone(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2)
	w.submit(job(id(1), "Twice", 1, func(s *workload.Step) { s.Daemon = true }))
	for n, how := range []cell.Outcome{cell.EndedDone, cell.EndedFailed, cell.EndedFailed, cell.EndedFailed, cell.EndedLapsed} {
		c.Assert(w.starts, qt.HasLen, 1+n)
		w.endOne(w.starts[n].Task, how)
		w.pass(second)
		c.Assert(w.states[id(1)], qt.Equals, workload.Running)
	}
	c.Assert(w.starts, qt.HasLen, 6)
}

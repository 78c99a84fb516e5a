package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/workload"
)

// A carrier forwards a list of runs with IDs that no worker of this cell can have. The owner
// must not crash on it.
func TestTaskIDsOutOfRangeAreUnknown(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	w.submit(job(id(1), "Plain", 1, nil))
	for _, step := range []workload.StepID{{Job: id(1), Step: -1}, {Job: id(1), Occurrence: -1}, {Job: id(1), Occurrence: 1}, {Job: id(1), Step: 1}} {
		w.reportTask(workload.TaskID{StepID: step})
	}
	w.reportTask(workload.TaskID{StepID: workload.StepID{Job: id(1)}, Index: -1})
	w.reportTask(workload.TaskID{StepID: workload.StepID{Job: id(1)}, Index: 1})
	c.Assert(w.states[id(1)], qt.Equals, workload.Running)
}

// reportTask lets a worker report a task both as running and as ended.
func (w *world) reportTask(task workload.TaskID) {
	f := w.workers["w0"]
	f.number++
	w.HandleReport(w.now, w.now, "w0", cell.Report{
		Life: f.Life, Complete: true, Running: []cell.ActiveRun{{Task: task, Run: 1}},
		Ended: []cell.EndedRun{{Number: f.number, Task: task, Run: 1, Outcome: cell.EndedDone}},
	})
}

// A record names an occurrence and a step that the job does not have: it is ignored.
func TestRecordedStepOutOfRangeIsIgnored(t *testing.T) {
	w := newWorld(1)
	for _, s := range []cell.StepProgress{{Occurrence: -1}, {Step: -1}, {Step: 1}, {Occurrence: 1}} {
		w.Restore(w.now, w.now, job(id(1), "Plain", 1, nil), cell.Progress{Steps: []cell.StepProgress{s}})
	}
	qt.Assert(t, w.JobCount(), qt.Equals, 1)
}

// A carrier of another version answers an order with an unknown value. The run may be
// starting, so the task must not start elsewhere.
func TestUnknownAnswerDoesNotCountAsRefusal(t *testing.T) {
	w := newWorld(2)
	w.answer = func(cell.Start) cell.Answer { return "Odd" }
	w.submit(job(id(1), "Plain", 1, nil))
	qt.Assert(t, w.starts, qt.HasLen, 1)
}

package cell_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/workload"
)

// The checkpoint of a task that is done is of no use to any owner. If it stays in the record,
// that of a job with many tasks outgrows a row of the store (LOST, review/1).
func TestCheckpointsOfDoneTasksAreNotRecorded(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	w.submit(job(id(1), "Plain", 2, func(s *workload.Step) { s.Checkpoints = true }))
	f := w.workers["w0"]
	for i := range f.running {
		f.running[i].Checkpoint = "saved"
	}
	w.now += 100 * ms
	w.reportAll()
	w.endTask(workload.TaskID{StepID: workload.StepID{Job: id(1)}}, cell.EndedDone)
	tasks := w.progress[id(1)].Steps[0].Tasks
	c.Assert(tasks[0].Done, qt.IsTrue)
	c.Check(tasks[0].Checkpoint, qt.Equals, "")
	c.Check(tasks[1].Checkpoint, qt.Equals, "saved")
}

// A checkpoint too long for the record is ignored, and the task resumes from the one before.
func TestOverlongCheckpointIsIgnored(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	w.submit(job(id(1), "Plain", 1, func(s *workload.Step) { s.Checkpoints = true }))
	f := w.workers["w0"]
	for _, checkpoint := range []string{"saved", strings.Repeat("x", cell.MaxCheckpointBytes+1)} {
		f.running[0].Checkpoint = checkpoint
		w.now += 100 * ms
		w.reportAll()
	}
	w.endTask(workload.TaskID{StepID: workload.StepID{Job: id(1)}}, cell.EndedLapsed)
	w.advance(second)
	c.Assert(w.starts, qt.HasLen, 2)
	c.Check(w.starts[1].Checkpoint, qt.Equals, "saved")
}

// The record of a gang's end was written in part before its owner failed. All its tasks have
// ended as done, and none may start again (TWICE).
func TestGangRecordedAsDoneInPartIsDone(t *testing.T) {
	c := qt.New(t)
	w := newWorld(4)
	j := job(id(1), "Plain", 4, func(s *workload.Step) { s.Gang = true })
	w.jobs[j.ID] = j
	done, running := cell.TaskProgress{Done: true, Run: 1}, cell.TaskProgress{Run: 1}
	w.Restore(w.now, w.now+second, j, cell.Progress{State: workload.Running, Steps: []cell.StepProgress{{Tasks: []cell.TaskProgress{done, done, running, running}}}})
	w.advance(10 * second)
	c.Check(w.starts, qt.HasLen, 0)
	c.Check(w.states[j.ID], qt.Equals, workload.Done)
}

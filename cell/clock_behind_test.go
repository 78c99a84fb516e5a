package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/workload"
)

// The next owner's wall clock is behind that of the owner that began an occurrence, so that
// the occurrence is not due for it yet. It must not forget what is recorded of the occurrence:
// the task would start again after it was done (TWICE), or without its last checkpoint
// (UNASKED), and its runs would not be stopped when the job is cancelled.
func TestNextOwnerWithClockBehindKeepsBegunOccurrences(t *testing.T) {
	c := qt.New(t)
	earlier := newWorld(1)
	j := job(id(1), "Plain", 3, func(s *workload.Step) { s.Checkpoints = true })
	j.Schedule = workload.Schedule{Count: 3, First: earlier.now.Milliseconds(), Interval: 1000}
	earlier.submit(j)
	earlier.now += second
	earlier.step()
	step := workload.StepID{Job: j.ID, Occurrence: 1}
	done, lost, running := workload.TaskID{StepID: step}, workload.TaskID{StepID: step, Index: 1}, workload.TaskID{StepID: step, Index: 2}
	earlier.endTask(done, cell.EndedDone)
	f := earlier.workers["w0"]
	f.number++
	f.ended = append(f.ended, cell.EndedRun{Number: f.number, Task: lost, Run: 1, Outcome: cell.EndedLapsed, Checkpoint: "saved"})
	f.running = deleteRun(f.running, lost)
	earlier.reportAll()

	w := newWorld(1)
	w.now, w.workers = earlier.now, earlier.workers
	const behind = 5 * second
	w.Tick(w.now, (w.now - behind).Milliseconds())
	w.Restore(w.now, w.now+second, earlier.jobs[j.ID], earlier.progress[j.ID])
	w.advance(10 * second)
	for _, s := range w.starts {
		c.Check(s.Task, qt.Not(qt.Equals), done)
		if s.Task == lost {
			c.Check(s.Run, qt.Equals, 2)
			c.Check(s.Checkpoint, qt.Equals, "saved")
		}
	}
	w.Cancel(w.now, j.ID)
	actions, _, _ := w.TakeOutput()
	stopped := map[workload.TaskID]bool{}
	for _, s := range actions.Stops {
		stopped[s.Task] = true
	}
	c.Check(stopped[running], qt.IsTrue)
}

// deleteRun returns a list of runs without those of a task.
func deleteRun(runs []cell.ActiveRun, id workload.TaskID) []cell.ActiveRun {
	var kept []cell.ActiveRun
	for _, r := range runs {
		if r.Task != id {
			kept = append(kept, r)
		}
	}
	return kept
}

package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
)

// Orders to start have no answer, and nothing is known to have begun: the jobs count as
// waiting until a worker lists their runs, also under the next owner.
func TestJobsWaitUntilARunIsReported(t *testing.T) {
	w := newWorld(4)
	w.answer = func(cell.Start) cell.Answer { return cell.NoAnswer }
	for n := range 3 {
		w.submit(job(id(n), "Plain", 1, nil))
	}
	qt.Assert(t, w.WaitingJobCount("Plain"), qt.Equals, 3)
	started := w.starts[0]
	f := w.workers[started.Worker.ID]
	f.running = append(f.running, cell.ActiveRun{Task: started.Task, Run: started.Run})
	w.report(f.ID)
	qt.Assert(t, w.WaitingJobCount("Plain"), qt.Equals, 2)

	next := newWorld(0)
	for n := range 3 {
		next.Restore(next.now, next.now, w.jobs[id(n)], w.progress[id(n)])
	}
	qt.Assert(t, next.WaitingJobCount("Plain"), qt.Equals, 3)
	next.workers[f.ID] = f
	next.HandleAnnouncement(next.now, f.Worker)
	next.report(f.ID)
	qt.Assert(t, next.WaitingJobCount("Plain"), qt.Equals, 2)
}

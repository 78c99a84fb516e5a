package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
)

// Orders to start have no answer, and nothing has begun: the jobs wait until a worker
// lists their runs, also for the next owner.
func TestJobsWaitUntilARunIsKnownToHaveBegun(t *testing.T) {
	w := newWorld(4)
	w.answer = func(cell.Start) cell.Answer { return cell.NoAnswer }
	for n := range 3 {
		w.submit(job(id(n), "Plain", 1, nil))
	}
	qt.Assert(t, w.WaitingJobCount("Plain"), qt.Equals, 3)
	began := w.starts[0]
	f := w.workers[began.Worker.ID]
	f.running = append(f.running, cell.ActiveRun{Task: began.Task, Run: began.Run})
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

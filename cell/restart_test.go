package cell_test

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/workload"
)

// busyCellWithService returns a full cell with a backlog, in which a service has been running
// for a minute.
func busyCellWithService(c *qt.C) *world {
	w := newWorld(1)
	w.submit(job(id(1), "Plain", 1, func(s *workload.Step) { s.Daemon = true }))
	w.advance(60 * second)
	c.Assert(w.runningCount(), qt.Equals, 1)
	later := job(id(2), "Plain", 30, nil)
	later.Accepted = w.now.Milliseconds()
	w.submit(later)
	c.Assert(w.runningCount(), qt.Equals, 5)
	return w
}

// restarted reports whether the task of the service is among the next ones to start.
func (w *world) restarted() bool {
	w.starts = nil
	for range 20 {
		for _, f := range w.workers {
			f.endAll(cell.EndedDone)
		}
		w.advance(500 * ms)
		for _, s := range w.starts {
			if s.Task.Job == id(1) {
				return true
			}
		}
		if len(w.starts) > 10 {
			return false
		}
	}
	return false
}

// A task of a service fails long after the service was submitted. The service counted as too
// late to earn anything and was ranked after all other jobs.
func TestServiceIsRestartedBeforeLateJobs(t *testing.T) {
	c := qt.New(t)
	w := busyCellWithService(c)
	w.advance(4 * second)
	w.failService()
	c.Assert(w.restarted(), qt.IsTrue)
}

// The same if the owner is replaced before the task is started again.
func TestServiceIsRestartedByTheNextOwner(t *testing.T) {
	c := qt.New(t)
	w := busyCellWithService(c)
	w.advance(4 * second)
	w.failService()
	w.report("w0")
	_, changes, _ := w.TakeOutput()
	for _, change := range changes {
		w.progress[change.Job.ID] = change.Progress
	}
	w.Cell = cell.New(options())
	w.SetCatalogue(catalogue())
	w.HandleAnnouncement(w.now, w.workers["w0"].Worker)
	w.Tick(w.now, w.now.Milliseconds())
	for _, id := range []string{id(1), id(2)} {
		w.Restore(w.now, w.now, w.jobs[id], w.progress[id])
	}
	w.reportAll()
	c.Assert(w.restarted(), qt.IsTrue)
}

// failService ends the task of the service as failed.
func (w *world) failService() {
	for _, f := range w.workers {
		for _, r := range slices.Clone(f.running) {
			if r.Task.Job == id(1) {
				f.end(r.Task, r.Run, cell.EndedFailed)
			}
		}
	}
}

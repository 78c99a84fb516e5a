package cell_test

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/workload"
)

// served returns a full cell with more work than it has room for, in which a service has
// been at work for a minute.
func served(c *qt.C) *world {
	w := newWorld(1)
	w.submit(job(id(1), "Plain", 1, func(s *workload.Step) { s.Daemon = true }))
	w.pass(60 * second)
	c.Assert(w.runningAll(), qt.Equals, 1)
	later := job(id(2), "Plain", 30, nil)
	later.Accepted = w.now.Milliseconds()
	w.submit(later)
	c.Assert(w.runningAll(), qt.Equals, 5)
	return w
}

// restarted reports whether the next task that starts is that of the service.
func (w *world) restarted() bool {
	w.starts = nil
	for range 20 {
		for _, f := range w.workers {
			f.endAll(cell.EndedDone)
		}
		w.pass(500 * ms)
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

// A task of a service fails long after the service was handed in. It counted as too late to
// earn anything, and waited behind all other jobs.
func TestServiceIsRestartedBeforeLateJobs(t *testing.T) {
	c := qt.New(t)
	w := served(c)
	w.pass(4 * second)
	w.failService()
	c.Assert(w.restarted(), qt.IsTrue)
}

// The same if the owner is replaced before the task is started again.
func TestServiceIsRestartedByTheNextOwner(t *testing.T) {
	c := qt.New(t)
	w := served(c)
	w.pass(4 * second)
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

// failService ends the task of the service.
func (w *world) failService() {
	for _, f := range w.workers {
		for _, r := range slices.Clone(f.running) {
			if r.Task.Job == id(1) {
				f.end(r.Task, r.Run, cell.EndedFailed)
			}
		}
	}
}

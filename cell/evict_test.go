package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/workload"
)

// A service has three tasks on three workers, and one of them may be unavailable. One worker
// may be emptied, and the next only after the task serves elsewhere.
func TestDisruptionBudget(t *testing.T) {
	w := newWorld(3)
	w.submit(job(id(1), "Plain", 3, func(s *workload.Step) {
		s.Daemon, s.DisruptionBudget, s.MaxPerWorker = true, 1, 1
	}))
	serve := func() {
		for _, f := range w.workers {
			for i := range f.running {
				f.running[i].Percent = 100
			}
		}
		w.now += 100 * ms
		w.reportAll()
	}
	serve()
	qt.Assert(t, w.MayEnd("w0"), qt.IsTrue)
	w.workers["w0"].endAll("Stopped")
	w.Reserve([]string{"w0"})
	w.now += 100 * ms
	w.reportAll()
	qt.Assert(t, w.MayEnd("w1"), qt.IsFalse)
	qt.Assert(t, w.runningCount(), qt.Equals, 2)
	w.Reserve(nil)
	w.step()
	qt.Assert(t, w.runningCount(), qt.Equals, 3)
	serve()
	qt.Assert(t, w.MayEnd("w1"), qt.IsTrue)
}

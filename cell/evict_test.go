package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/workload"
)

// allUp says that the machines of all workers are up.
func allUp(string) bool { return true }

// serviceOf returns a service of n tasks, one on a worker, of which one may be unavailable.
func serviceOf(n int) workload.Job {
	return job(id(1), "Plain", n, func(s *workload.Step) {
		s.Daemon, s.DisruptionBudget, s.MaxPerWorker = true, 1, 1
	})
}

// serve makes all tasks of services serve.
func (w *world) serve() {
	for _, f := range w.workers {
		for i := range f.running {
			f.running[i].Percent = 100
		}
	}
	w.now += 100 * ms
	w.reportAll()
}

// A service has three tasks on three workers, and one of them may be unavailable. One worker
// may be emptied, and the next only after the task serves elsewhere.
func TestDisruptionBudget(t *testing.T) {
	w := newWorld(3)
	w.submit(serviceOf(3))
	w.serve()
	qt.Assert(t, w.MayEnd("w0", allUp), qt.IsTrue)
	w.workers["w0"].endAll("Stopped")
	w.Reserve([]string{"w0"})
	w.now += 100 * ms
	w.reportAll()
	qt.Assert(t, w.MayEnd("w1", allUp), qt.IsFalse)
	qt.Assert(t, w.runningCount(), qt.Equals, 2)
	w.Reserve(nil)
	w.step()
	qt.Assert(t, w.runningCount(), qt.Equals, 3)
	w.serve()
	qt.Assert(t, w.MayEnd("w1", allUp), qt.IsTrue)
}

// The machine of a worker was ordered down a moment ago, and the lease of its runs has not
// expired yet. They must not count as serving, or a second task of the service is ended while
// the first is away (AVAIL, review/5).
func TestTasksOnMachinesOrderedDownAreUnavailable(t *testing.T) {
	c := qt.New(t)
	w := newWorld(4)
	w.submit(serviceOf(4))
	w.serve()
	down := map[string]bool{"w0": true}
	isUp := func(worker string) bool { return !down[worker] }
	w.workers["w0"].unresponsive = true
	c.Check(w.MayEnd("w1", isUp), qt.IsFalse)
	c.Check(w.MayEnd("w1", allUp), qt.IsTrue)
	// The end of the first run is noticed, and its task waits for another start.
	w.Reserve([]string{"w0"})
	w.advance(6 * second)
	c.Check(w.MayEnd("w1", isUp), qt.IsFalse)
}

// A task of a service that never serves must not keep its own machine from upkeep for ever:
// no other task is unavailable, and one may be.
func TestTaskThatNeverServesDoesNotBlockItsMachine(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2)
	w.submit(serviceOf(2))
	w.serve()
	w.workers["w0"].running[0].Percent = 40
	w.now += 100 * ms
	w.reportAll()
	c.Check(w.MayEnd("w0", allUp), qt.IsTrue)
	c.Check(w.MayEnd("w1", allUp), qt.IsFalse)
}

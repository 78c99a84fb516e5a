package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// The store does not respond, so that neither the job nor its first runs can be recorded, and
// no order to start is sent. The job is removed with its runs, and its caller may submit it
// again.
func TestAbandonedJobKeepsNoRunsOrOrders(t *testing.T) {
	w := newWorld(2)
	w.Submit(w.now, job(id(1), "Plain", 10, nil))
	w.Tick(w.now, w.now.Milliseconds())
	actions, _, _ := w.TakeOutput()
	qt.Assert(t, actions.Starts, qt.HasLen, 10)
	qt.Assert(t, w.Abandon(w.now, id(1)), qt.IsTrue)
	_, known := w.State(id(1))
	qt.Assert(t, known, qt.IsFalse)
	for _, s := range actions.Starts {
		qt.Assert(t, w.ShouldSend(s), qt.IsFalse)
	}

	// The same job is given the capacity again, under the same run numbers. The remaining
	// orders of the abandoned job must not be sent, since the new runs have no record yet.
	w.Submit(w.now, job(id(1), "Plain", 10, nil))
	w.Tick(w.now, w.now.Milliseconds())
	again, _, _ := w.TakeOutput()
	qt.Assert(t, again.Starts, qt.HasLen, 10)
	for i, s := range actions.Starts {
		qt.Assert(t, again.Starts[i].Task, qt.Equals, s.Task)
		qt.Assert(t, w.ShouldSend(s), qt.IsFalse)
		w.HandleUnsentStart(w.now, s)
		qt.Assert(t, w.ShouldSend(again.Starts[i]), qt.IsTrue)
	}
}

// A job that is final must be recorded as such, so it can't be abandoned.
func TestCancelledJobIsNotAbandoned(t *testing.T) {
	w := newWorld(1)
	w.Submit(w.now, job(id(1), "Plain", 1, nil))
	w.Cancel(w.now, id(1))
	qt.Assert(t, w.Abandon(w.now, id(1)), qt.IsFalse)
}

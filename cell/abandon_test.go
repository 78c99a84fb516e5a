package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// The store is silent: the job and its first runs can't be recorded, and no order for them
// goes out. The job is taken back whole, and its caller may hand it in again.
func TestJobThatBeganIsAbandonedWhole(t *testing.T) {
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

	// The same job takes the room again, under the same numbers. What is left of the
	// orders before is not sent, since the new runs have no record yet.
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

// A job that is final is to be recorded as such.
func TestCancelledJobIsNotAbandoned(t *testing.T) {
	w := newWorld(1)
	w.Submit(w.now, job(id(1), "Plain", 1, nil))
	w.Cancel(w.now, id(1))
	qt.Assert(t, w.Abandon(w.now, id(1)), qt.IsFalse)
}

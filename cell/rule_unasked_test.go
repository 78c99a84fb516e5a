package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/workload"
)

// UNASKED: tasks of a cancelled job wait for capacity, or for another run after a failure.
func TestCancelledJobStartsNothing(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	w.submit(job(id(1), "Plain", 7, nil))
	c.Assert(w.starts, qt.HasLen, 5)
	f := w.workers["w0"]
	f.unresponsive = true
	c.Assert(w.Cancel(w.now, id(1)), qt.IsTrue)
	w.step()
	c.Assert(w.stops, qt.HasLen, 5)
	// The runs end in different ways while the orders to stop are in transit.
	f.unresponsive = false
	f.end(f.running[0].Task, 1, cell.EndedFailed)
	f.end(f.running[0].Task, 1, cell.EndedLapsed)
	w.reportAll()
	w.advance(5 * second)
	c.Assert(w.starts, qt.HasLen, 5)
	c.Assert(w.runningCount(), qt.Equals, 0)
	c.Assert(w.states[id(1)], qt.Equals, workload.Cancelled)
}

// UNASKED: a job is cancelled after an order to start was issued and before it is recorded.
func TestStartOfACancelledJobIsNotSent(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	w.Submit(w.now, job(id(1), "Plain", 1, nil))
	w.Tick(w.now, w.now.Milliseconds())
	actions, _, _ := w.TakeOutput()
	c.Assert(actions.Starts, qt.HasLen, 1)
	c.Assert(w.ShouldSend(actions.Starts[0]), qt.IsTrue)
	w.Cancel(w.now, id(1))
	c.Assert(w.ShouldSend(actions.Starts[0]), qt.IsFalse)
}

// UNASKED: a job is cancelled while its order to start waits for a worker, or between two
// copies of it. An order that was never sent needs no order to stop.
func TestStartOfACancelledJobCannotBeClaimed(t *testing.T) {
	for _, sent := range []bool{false, true} {
		c := qt.New(t)
		w := newWorld(1)
		w.Submit(w.now, job(id(1), "Plain", 1, nil))
		w.Tick(w.now, w.now.Milliseconds())
		actions, _, _ := w.TakeOutput()
		start := actions.Starts[0]
		if sent {
			c.Assert(start.Claim(), qt.IsTrue)
		}
		w.Cancel(w.now, id(1))
		c.Assert(start.Claim(), qt.IsFalse)
		actions, _, _ = w.TakeOutput()
		c.Assert(actions.Stops, qt.HasLen, 1)
		c.Assert(actions.Stops[0].IsNeeded(), qt.Equals, sent)
	}
}

// TWICE: a run that was closed, as the lease of its worker had expired, must not be started by
// an order that still waits: the task may run elsewhere.
func TestStartOfAClosedRunCannotBeClaimed(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	w.Submit(w.now, job(id(1), "Plain", 1, nil))
	w.Tick(w.now, w.now.Milliseconds())
	actions, _, _ := w.TakeOutput()
	w.HandleUnsentStart(w.now, actions.Starts[0])
	c.Assert(actions.Starts[0].Claim(), qt.IsFalse)
}

// UNASKED: the next owner restores a cancelled job whose runs have not ended.
func TestNextOwnerStopsACancelledJob(t *testing.T) {
	c := qt.New(t)
	earlier := newWorld(1)
	earlier.submit(job(id(1), "Plain", 7, nil))
	earlier.workers["w0"].unresponsive = true
	earlier.Cancel(earlier.now, id(1))
	earlier.step()
	w := newWorld(1)
	w.now, w.workers = earlier.now, earlier.workers
	w.workers["w0"].unresponsive = false
	w.Restore(w.now, w.now+second, earlier.jobs[id(1)], earlier.progress[id(1)])
	w.reportAll()
	w.advance(2 * second)
	c.Assert(w.runningCount(), qt.Equals, 0)
	c.Assert(w.starts, qt.HasLen, 0)
}

// UNASKED: the next run of a task receives the job's specification and the last checkpoint of
// the task.
func TestNextRunStartsFromLastCheckpoint(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2)
	j := job(id(1), "Plain", 2, func(s *workload.Step) { s.Checkpoints = true })
	j.Spec = "x"
	w.submit(j)
	first := w.starts[0]
	f := w.workers[first.Worker.ID]
	for _, saved := range []string{"old", "new"} {
		for i := range f.running {
			if f.running[i].Task == first.Task {
				f.running[i].Checkpoint = saved
			}
		}
		w.reportAll()
	}
	w.endTask(first.Task, cell.EndedLapsed)
	w.advance(second)
	c.Assert(w.starts, qt.HasLen, 3)
	c.Assert(w.starts[2].Task, qt.Equals, first.Task)
	c.Assert(w.starts[2].Checkpoint, qt.Equals, "new")
	c.Assert(w.starts[2].Spec, qt.Equals, "x")
}

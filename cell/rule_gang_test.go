package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// gangOf returns a job of a gang with one member on each worker.
func gangOf(n int) workload.Job {
	return job(id(1), "Plain", n, func(s *workload.Step) {
		s.Gang, s.Checkpoints, s.Size.Processors, s.Estimate = true, true, 8*task.Processor, 20*second
	})
}

// GANG: there is capacity for some members only. If started, these would wait for the others
// and end with the outcome Alone.
func TestGangStartsAllMembersOrNone(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2)
	w.submit(gangOf(3))
	w.advance(second)
	c.Assert(w.starts, qt.HasLen, 0)
	w.addWorker("w2", "r0")
	w.reportAll()
	c.Assert(w.starts, qt.HasLen, 3)
	for _, s := range w.starts {
		c.Assert(s.Run, qt.Equals, 1)
	}
}

// GANG: a member has ended, and another can't be stopped because its worker does not respond,
// though there is capacity for all elsewhere. If the gang started again, the members of two
// runs would wait for each other.
func TestGangRestartsOnceAllMembersHaveEnded(t *testing.T) {
	c := qt.New(t)
	w := newWorld(3)
	w.submit(gangOf(3))
	w.workers["w2"].unresponsive = true
	w.addWorker("w3", "r0")
	f := w.workers["w0"]
	f.running[0].Checkpoint = "00000bb87a21d94b"
	w.reportAll()
	f.end(f.running[0].Task, 1, cell.EndedFailed)
	w.reportAll()
	w.advance(2 * second)
	c.Assert(w.workers["w1"].running, qt.HasLen, 0)
	c.Assert(w.starts, qt.HasLen, 3)
	w.workers["w2"].unresponsive = false
	w.advance(3 * second)
	c.Assert(w.starts, qt.HasLen, 6)
	for _, s := range w.starts[3:] {
		c.Assert(s.Run, qt.Equals, 2)
		// UNASKED: the checkpoint of any member is valid for all, and all must start from the
		// same one.
		c.Assert(s.Checkpoint, qt.Equals, "00000bb87a21d94b")
	}
}

// GANG: one member was refused under an earlier owner, so that it has no run, and its next
// run number would be lower than those of the others.
func TestNextOwnerStartsGangMembersWithOneRunNumber(t *testing.T) {
	c := qt.New(t)
	w := newWorld(3)
	progress := cell.Progress{State: workload.Running, Steps: []cell.StepProgress{{Tasks: []cell.TaskProgress{{Run: 4}, {Run: 2}, {Run: 3}}}}}
	w.Restore(w.now, w.now, gangOf(3), progress)
	w.reportAll()
	c.Assert(w.starts, qt.HasLen, 3)
	for _, s := range w.starts {
		c.Assert(s.Run, qt.Equals, 5)
	}
}

package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// When its link to the owner breaks, a host sends the answers of earlier tenures again. An
// answer older than the ticket of a worker must not replace the ticket.
func TestOlderAnswerDoesNotReplaceANewerTicket(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	w.submit(job(id(1), "Plain", 5, nil))
	w.submit(job(id(2), "Advised", 1, nil))
	c.Assert(w.questions, qt.HasLen, 1)
	q := w.questions[0]
	w.questions = nil
	w.HandleAdvice(w.now, w.now, q, map[string]string{"w0": "new"})
	w.HandleAdvice(w.now, w.now-10*second, q, map[string]string{"w0": "old"})
	w.workers["w0"].endAll(cell.EndedDone)
	w.reportAll()
	c.Assert(w.questions, qt.HasLen, 0)
	c.Assert(w.starts[len(w.starts)-1].Ticket, qt.Equals, "new")
}

// A worker in the plan of a gang leaves while the tickets are pending. Capacity must be held
// for what the gang can still use, not for the plan, and its next question must not rank
// before those for which capacity is held.
func TestOutdatedGangPlanHoldsNoCapacity(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2)
	w.submit(job(id(1), "Plain", 10, nil))
	w.submit(job(id(2), "Advised", 2, func(s *workload.Step) { s.Gang, s.Size.Processors = true, 8*task.Processor }))
	w.advise(anyWorker)
	w.advance(3 * second)
	for _, f := range w.workers {
		f.endAll(cell.EndedDone)
	}
	w.reportAll()
	c.Assert(w.questions, qt.HasLen, 1)
	c.Assert(w.questions[0].Booked, qt.IsTrue)
	w.RemoveWorker(w.now, "w1")
	w.addWorker("w2", "r0")
	w.advise(anyWorker)
	c.Assert(w.questions, qt.HasLen, 1)
	c.Assert(w.questions[0].Booked, qt.IsFalse)
}

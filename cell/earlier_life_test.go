package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
)

// Starts that an earlier life of a worker failed to answer must not keep new work from the life
// that has begun meanwhile: five of them paused it for 8 s.
func TestFailedStartsOfAnEarlierLifeDoNotPauseTheWorker(t *testing.T) {
	for _, answer := range []cell.Answer{cell.OtherLife, cell.Unreached, cell.NoAnswer} {
		t.Run(string(answer), func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(1)
			f := w.workers["w0"]
			w.answer = func(cell.Start) cell.Answer {
				f.Life = 2
				w.HandleAnnouncement(w.now, f.Worker)
				return answer
			}
			w.submit(job(id(1), "Plain", 5, nil))
			c.Assert(w.starts, qt.HasLen, 5)
			w.answer = nil
			w.advance(2 * second)
			c.Assert(f.running, qt.HasLen, 5)
		})
	}
}

// Failed starts still pause the life that failed them.
func TestFailedStartsPauseTheLifeThatFailedThem(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	w.answer = func(cell.Start) cell.Answer { return cell.Unreached }
	w.submit(job(id(1), "Plain", 5, nil))
	w.answer = nil
	w.advance(2 * second)
	c.Assert(w.workers["w0"].running, qt.HasLen, 0)
}

// A worker starts again while a question that names it is on its way. The ticket in the answer is
// for the earlier life, and the worker would refuse it.
func TestTicketIsForTheLifeThatTheQuestionNamed(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	w.submit(job(id(1), "Advised", 1, nil))
	c.Assert(w.questions, qt.HasLen, 1)
	f := w.workers["w0"]
	f.Life = 2
	w.HandleAnnouncement(w.now, f.Worker)
	w.reportAll()
	w.advise(anyWorker)
	c.Assert(w.starts, qt.HasLen, 0)
	c.Assert(w.questions, qt.HasLen, 1)
	w.advise(anyWorker)
	c.Assert(w.starts, qt.HasLen, 1)
}

// A host of an earlier version passes a question on without the lives. Its answer must still start
// the task.
func TestTicketOfAQuestionWithoutLivesCounts(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	w.submit(job(id(1), "Advised", 1, nil))
	c.Assert(w.questions, qt.HasLen, 1)
	w.questions[0].Lives = nil
	w.advise(anyWorker)
	c.Assert(w.starts, qt.HasLen, 1)
}

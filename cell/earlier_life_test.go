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

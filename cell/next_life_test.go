package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
)

// restart starts a worker again under its ID, without its runs.
func (w *world) restart(id string) {
	f := w.workers[id]
	f.Life++
	f.running, f.ended, f.number = nil, nil, 0
	w.HandleAnnouncement(w.now, f.Worker)
}

// The first copy of an order to start has no answer, the second one is accepted, and the worker
// starts again. The task must not start elsewhere before the next life has been told to stop
// the run, as it would carry out the first copy late (TWICE).
func TestLateCopyOfAnAcceptedStartIsExcludedInTheNextLife(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2)
	w.answer = func(s cell.Start) cell.Answer {
		s.NoteUnanswered()
		return cell.Accepted
	}
	w.submit(job(id(1), "Plain", 1, nil))
	c.Assert(w.starts, qt.HasLen, 1)
	first := w.starts[0]
	w.reportAll()
	w.now += 100 * ms
	w.restart(first.Worker.ID)
	w.report(first.Worker.ID)
	w.step()
	c.Assert(w.starts, qt.HasLen, 1)
	c.Assert(w.stops, qt.HasLen, 1)
	c.Assert(w.stops[0].Run, qt.Equals, first.Run)
	w.advance(1500 * ms)
	c.Assert(w.starts, qt.HasLen, 2)
}

// The same without a copy that had no answer: the task starts again at once.
func TestRunOfAnEarlierLifeIsReplacedAtOnce(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2)
	w.submit(job(id(1), "Plain", 1, nil))
	w.reportAll()
	w.now += 100 * ms
	w.restart(w.starts[0].Worker.ID)
	w.report(w.starts[0].Worker.ID)
	w.step()
	c.Assert(w.stops, qt.HasLen, 0)
	c.Assert(w.starts, qt.HasLen, 2)
}

// A worker starts again, and its next life carries out an order for the earlier one late. The
// lease is the longest that a worker accepts, as its end was named by another clock: the task
// must not start elsewhere before it has lapsed, should the worker be cut off then (TWICE).
func TestRunOfALateStartCountsWithTheLongestLease(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2)
	limits := options()
	limits.MaxLease = 10 * second
	w.Cell = cell.New(limits)
	w.SetCatalogue(catalogue())
	for id := range w.workers {
		w.HandleAnnouncement(w.now, w.workers[id].Worker)
	}
	w.reportAll()
	w.answer = func(cell.Start) cell.Answer { return cell.NoAnswer }
	w.submit(job(id(1), "Plain", 1, nil))
	c.Assert(w.starts, qt.HasLen, 1)
	first := w.starts[0]
	f := w.workers[first.Worker.ID]
	w.now += 100 * ms
	w.restart(f.ID)
	f.running = []cell.ActiveRun{{Task: first.Task, Run: first.Run}}
	w.report(f.ID)
	f.unresponsive = true
	w.answer = nil
	w.advance(9 * second)
	c.Assert(w.starts, qt.HasLen, 1)
	w.advance(3 * second)
	c.Assert(w.starts, qt.HasLen, 2)
}

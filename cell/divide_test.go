package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/workload"
)

// A wide gang in a cell of hundreds of workers that is half full: with one question at a time it
// learns of enough eligible workers only after several answers, each of which takes longer than a
// second, and has used up its objective by then. Idle hosts must ask about different workers at
// the same time, and the gang must start once the answers allow it.
func TestWideGangAsksThroughSeveralIdleHosts(t *testing.T) {
	w := newWorld(200)
	w.SetIdleAdviceHosts(20)
	w.submit(job(id(1), "Advised", 40, func(s *workload.Step) { s.Gang = true }))
	qt.Assert(t, len(w.questions) > 1, qt.IsTrue)
	named := map[string]bool{}
	for i, q := range w.questions {
		qt.Check(t, q.Part, qt.Equals, i)
		for _, worker := range q.Workers {
			qt.Check(t, named[worker], qt.IsFalse, qt.Commentf("%s is named twice", worker))
			named[worker] = true
		}
	}
	w.advise(anyWorker)
	qt.Assert(t, w.runningCount(), qt.Equals, 40)
}

// While all hosts are busy with questions, dividing one would only delay those of other jobs.
func TestQuestionIsNotDividedWhileHostsAreBusy(t *testing.T) {
	w := newWorld(200)
	w.SetIdleAdviceHosts(1)
	w.submit(job(id(1), "Advised", 40, func(s *workload.Step) { s.Gang = true }))
	qt.Assert(t, w.questions, qt.HasLen, 1)
}

// The host of one part of a question is lost. The gang must not wait for its answer for longer
// than the others took.
func TestLostPartOfAQuestionIsNotAwaited(t *testing.T) {
	w := newWorld(200)
	w.SetIdleAdviceHosts(20)
	w.submit(job(id(1), "Advised", 40, func(s *workload.Step) { s.Gang = true }))
	parts := w.questions
	qt.Assert(t, len(parts) > 1, qt.IsTrue)
	w.questions = nil
	w.now += second
	for _, q := range parts[1:] {
		w.HandleAdvice(w.now, w.now, q, map[string]string{})
	}
	w.step()
	qt.Assert(t, w.questions, qt.HasLen, 0)
	w.advance(600 * ms)
	qt.Assert(t, len(w.questions) > 0, qt.IsTrue)
}

// Jobs beyond the share of their organisation arrive before others in a full cell. Room must go to
// a late job within its share first, as the organisation within its share would pay otherwise.
func TestJobsBeyondTheShareComeAfterThoseWithin(t *testing.T) {
	w := newWorld(1)
	beyond := func(n int) workload.Job {
		j := job(id(n), "Plain", 5, nil)
		j.BeyondShare = true
		return j
	}
	w.submit(job(id(1), "Plain", 5, nil))
	w.submit(job(id(2), "Plain", 5, nil))
	w.advance(4 * second)
	w.submit(beyond(3))
	w.submit(beyond(4))
	for range 4 {
		w.workers["w0"].endAll(cell.EndedDone)
		w.reportAll()
	}
	var order []string
	for _, s := range w.starts {
		if s.Task.Index == 0 {
			order = append(order, s.Task.Job)
		}
	}
	qt.Assert(t, order, qt.DeepEquals, []string{id(1), id(2), id(3), id(4)})
}

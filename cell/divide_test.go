package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

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

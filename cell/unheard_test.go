package cell_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// announceWithoutWorker announces workers that never report, as another writer may.
func (w *world) announceWithoutWorker(n int) {
	for i := range n {
		w.HandleAnnouncement(w.now, workload.Worker{
			ID: fmt.Sprintf("odd-%d", i), Service: "S", Address: "nowhere", Labels: []string{"a", "r0"},
			Capacity: task.Size{Processors: 100 * task.Processor, Memory: 100 * task.Gibibyte},
		})
	}
}

// Entries of another writer announce large workers that never report. A question about a step
// must not name them: it would name no others, as they seem to be free, and the advice service
// may not answer a question about workers that it doesn't know, so that the step never starts
// (LOST).
func TestQuestionsDoNotNameWorkersThatNeverReport(t *testing.T) {
	for _, gang := range []bool{false, true} {
		c := qt.New(t)
		w := newWorld(2)
		w.announceWithoutWorker(200)
		w.advance(4 * second)
		w.submit(job(id(1), "Advised", 5, func(s *workload.Step) { s.Gang = gang }))
		c.Assert(w.questions, qt.HasLen, 1)
		named := slices.Sorted(slices.Values(w.questions[0].Workers))
		c.Assert(named, qt.DeepEquals, []string{"w0", "w1"})
		w.advise(anyWorker)
		c.Assert(w.runningCount(), qt.Equals, 5)
	}
}

// A worker that has just been announced is named before its first report, which is there by the
// time of the answer. This holds again after it was not announced for a time.
func TestQuestionsNameNewWorkers(t *testing.T) {
	c := qt.New(t)
	w := newWorld(0)
	w.announceWithoutWorker(1)
	w.submit(job(id(1), "Advised", 1, nil))
	c.Assert(w.questions, qt.HasLen, 1)
	c.Assert(w.questions[0].Workers, qt.DeepEquals, []string{"odd-0"})
	w.RemoveWorker(w.now, "odd-0")
	w.advance(10 * second)
	w.questions = nil
	w.announceWithoutWorker(1)
	w.submit(job(id(2), "Advised", 1, nil))
	c.Assert(w.questions, qt.HasLen, 2)
}

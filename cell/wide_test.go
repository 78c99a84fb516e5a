package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/workload"
)

// gangOnEach returns a job of one gang with a task on each of a number of workers.
func gangOnEach(n, workers int) workload.Job {
	return job(id(n), "Advised", workers, func(s *workload.Step) { s.Gang, s.MaxPerWorker = true, 1 })
}

// A gang needs more workers than one question can name. Each question named the eligible
// workers that the gang already knew, and no others.
func TestGangLargerThanOneQuestionStarts(t *testing.T) {
	w := newWorld(200)
	w.submit(gangOnEach(1, 150))
	for range 10 {
		// The advice service takes 1.2 s for 100 workers.
		w.advance(1250 * ms)
		w.advise(anyWorker)
	}
	qt.Assert(t, w.runningCount(), qt.Equals, 150)
}

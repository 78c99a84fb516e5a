package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/workload"
)

// gangOnEach is a job of one gang with a task on each of a number of workers.
func gangOnEach(n, workers int) workload.Job {
	return job(id(n), "Advised", workers, func(s *workload.Step) { s.Gang, s.MaxPerWorker = true, 1 })
}

// A gang needs more workers than one question takes. Each question named the good workers
// that the gang knew already, and no other.
func TestGangWiderThanAQuestionStarts(t *testing.T) {
	w := newWorld(200)
	w.submit(gangOnEach(1, 150))
	for range 10 {
		// The service takes 1.2 s for 100 workers.
		w.pass(1250 * ms)
		w.advise(all)
	}
	qt.Assert(t, w.runningAll(), qt.Equals, 150)
}

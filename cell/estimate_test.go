package cell_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/workload"
)

// Wide jobs with wrong estimates under a burst: all take 5 s, and the declared estimates are
// between a tenth and ten times of that. Ordered by the estimates, a job with a tenth counts
// as hopeless and one with ten times as patient, and both miss an objective that the order of
// arrival would meet.
func TestJobsWithWrongEstimatesAreServedInOrderOfArrival(t *testing.T) {
	const took = 5 * second
	w := newWorld(4)
	estimates := []time.Duration{10 * took, took / 10, 3 * took, took / 3, took}
	wide := func(n int) workload.Job {
		return job(id(n), "Plain", 20, func(s *workload.Step) { s.Gang, s.Estimate = true, estimates[n%len(estimates)] })
	}
	finish := func(after time.Duration) {
		w.advance(after)
		for _, f := range w.workers {
			f.endAll(cell.EndedDone)
		}
		w.reportAll()
	}
	const learned, burst = 40, 3
	for n := range learned {
		w.submit(wide(n))
		finish(took)
	}
	first := len(w.starts)
	for n := learned; n < learned+burst; n++ {
		w.submit(wide(n))
		w.advance(500 * ms)
	}
	finish(3 * second)
	finish(took)
	var order []string
	for _, s := range w.starts[first:] {
		if s.Task.Index == 0 {
			order = append(order, s.Task.Job)
		}
	}
	qt.Assert(t, order, qt.DeepEquals, []string{id(40), id(41), id(42)})
}

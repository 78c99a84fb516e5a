package cell_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/workload"
)

// The stretch of a queue leaves less slack than the difference between workers of speeds 0.8,
// 1.0 and 1.25 costs. Its jobs go where they are likely to be in time, although their slack is
// more than two seconds; where any worker will do, the fast ones remain for others.
func TestJobsThatSlowWorkersWouldDelayAreForecast(t *testing.T) {
	varied, alike := []time.Duration{6 * second, 10 * second, 16 * second}, []time.Duration{10 * second}
	for name, test := range map[string]struct {
		stretch float64
		took    []time.Duration
		want    string
	}{
		"VariedAndTight": {1.6, varied, "w1"}, "VariedAndLoose": {4, varied, "w0"},
		"AlikeAndEnoughSlack": {1.6, alike, "w0"}, "AlikeButTooSlowByOne": {1.22, alike, "w1"},
	} {
		t.Run(name, func(t *testing.T) {
			w, known := newWorld(3), catalogue()
			known.Queues[0].Stretch, known.Queues[0].Allowance = test.stretch, 0
			w.SetCatalogue(known)
			w.learnTimes(10*second, test.took, []string{"w1", "w2", "w0"}, 1.25, 1, 0.8)
			w.submit(job(id(1), "Plain", 5, func(s *workload.Step) { s.Estimate = 10 * second }))
			qt.Assert(t, w.workers[test.want].running, qt.HasLen, 5)
		})
	}
}

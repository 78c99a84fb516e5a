package cell_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/workload"
)

// learnSpeeds lets jobs end on workers of speeds 0.8, 1.25 and 1.0 whose tasks, on the last one,
// take the given times in turn.
func (w *world) learnSpeeds(queue string, estimate time.Duration, took ...time.Duration) {
	for n := range 60 {
		w.submit(job(id(1000+n), queue, 15, func(s *workload.Step) { s.Estimate = estimate }))
		begun, usual := w.now, took[n%len(took)]
		for _, name := range []string{"w1", "w2", "w0"} {
			until := begun + map[string]time.Duration{"w0": usual * 5 / 4, "w1": usual * 4 / 5, "w2": usual}[name]
			w.advance(until - w.now)
			w.workers[name].endAll(cell.EndedDone)
			w.reportAll()
		}
	}
}

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
		"VariedAndTight":       {1.6, varied, "w1"},
		"VariedAndLoose":       {4, varied, "w0"},
		"AlikeAndEnoughSlack":  {1.6, alike, "w0"},
		"AlikeButTooSlowByOne": {1.22, alike, "w1"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(3)
			known := catalogue()
			known.Queues[0].Stretch, known.Queues[0].Allowance = test.stretch, 0
			w.SetCatalogue(known)
			w.learnSpeeds("Plain", 10*second, test.took...)
			w.submit(job(id(1), "Plain", 5, func(s *workload.Step) { s.Estimate = 10 * second }))
			qt.Assert(t, w.workers[test.want].running, qt.HasLen, 5)
		})
	}
}

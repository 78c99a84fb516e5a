package forecast_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/forecast"
)

// load describes the run times of a queue.
type load struct {
	// deviation is that of the logarithm of single tasks, longTasks the part of them that run
	// seven times longer.
	deviation, longTasks float64
	// estimateError is the greatest factor by which the estimate of a step is wrong.
	estimateError float64
	// shift is the factor by which run times change after shiftAt steps.
	shift float64
	// sameSpeed reports whether the workers don't differ in speed. The model is not told the
	// speeds, as if nothing had been learned about the workers.
	sameSpeed bool
}

const (
	warmUp, shiftAt, steps = 20, 120, 220
	// settledAfter is the number of steps after a shift by which the calibration is back.
	settledAfter = 20
	seeds        = 20
)

// play calls visit with the estimate of each step, the run times of its tasks and what the
// model has learned before the step.
func (l load) play(seed uint64, visit func(step int, m forecast.Model, estimate time.Duration, took []time.Duration)) {
	r := rand.New(rand.NewPCG(seed, 1))
	var m forecast.Model
	speeds := []float64{0.8, 1, 1.25}
	for step := range steps {
		usual := 2 * math.Exp(0.5*r.NormFloat64())
		estimate := toDuration(usual * math.Pow(l.estimateError, 2*r.Float64()-1))
		if step >= shiftAt {
			usual *= l.shift
		}
		took := make([]time.Duration, 1+r.IntN(20))
		for i := range took {
			t := usual * math.Exp(l.deviation*r.NormFloat64())
			if r.Float64() < l.longTasks {
				t *= 7
			}
			if !l.sameSpeed {
				t /= speeds[r.IntN(len(speeds))]
			}
			took[i] = toDuration(t)
		}
		visit(step, m, estimate, took)
		for _, t := range took {
			m = m.With(estimate, t, 1/float64(len(took)))
		}
	}
}

var loads = map[string]load{
	"LogNormal":           {deviation: 0.3, estimateError: 1.9, shift: 1},
	"Wide":                {deviation: 0.6, estimateError: 1.9, shift: 1},
	"GoodEstimates":       {deviation: 0.2, estimateError: 1, shift: 1},
	"Narrow":              {deviation: 0.05, estimateError: 1, shift: 1, sameSpeed: true},
	"HeavyTail":           {deviation: 0.2, longTasks: 0.03, estimateError: 1.9, shift: 1},
	"ShiftUp":             {deviation: 0.3, estimateError: 1.9, shift: 2},
	"ShiftDown":           {deviation: 0.3, estimateError: 1.9, shift: 0.5},
	"ShiftUpHeavyTail":    {deviation: 0.2, longTasks: 0.03, estimateError: 1.9, shift: 3},
	"ShiftDownHeavyTail":  {deviation: 0.2, longTasks: 0.03, estimateError: 1.9, shift: 1. / 3},
	"SmallShiftHeavyTail": {deviation: 0.2, longTasks: 0.03, estimateError: 1.9, shift: 1.4},
}

// share counts predictions and how many of them held.
type share struct{ held, of float64 }

func (s *share) add(held bool) {
	s.of++
	if held {
		s.held++
	}
}

func (s share) assertNear(c *qt.C, name string, low, high float64) {
	c.Check(s.held >= low*s.of && s.held <= high*s.of, qt.IsTrue, qt.Commentf("%s: %.3f of %.0f hold", name, s.held/s.of, s.of))
}

// Estimates are wrong, some tasks run seven times longer, workers differ in speed and the load
// shifts: 85 to 95% of the predictions of the 90th percentile hold, also from 20 steps after a
// shift on.
func TestQuantilesAreCalibrated(t *testing.T) {
	for name, l := range loads {
		t.Run(name, func(t *testing.T) {
			var high, median, settled share
			for seed := range uint64(seeds) {
				l.play(seed, func(step int, m forecast.Model, estimate time.Duration, took []time.Duration) {
					for _, each := range took {
						held := each <= m.Quantile(estimate, 0.9)
						switch {
						case step >= warmUp && step < shiftAt:
							high.add(held)
							median.add(each <= m.Quantile(estimate, 0.5))
						case step >= shiftAt+settledAfter && step < shiftAt+2*settledAfter:
							settled.add(held)
						}
					}
				})
			}
			c := qt.New(t)
			high.assertNear(c, "90th percentile", 0.85, 0.95)
			median.assertNear(c, "median", 0.45, 0.55)
			settled.assertNear(c, "90th percentile after the shift", 0.85, 0.95)
			t.Logf("%.3f %.3f %.3f", high.held/high.of, median.held/median.of, settled.held/settled.of)
		})
	}
}

// Tasks have run for a while: the predictions of their remaining time hold as often as they
// say, those of tasks that have outlived their usual time included.
func TestRemainingTimeIsCalibrated(t *testing.T) {
	const minTasks = 1000
	c := qt.New(t)
	for _, name := range []string{"LogNormal", "Wide", "GoodEstimates", "Narrow", "HeavyTail"} {
		for _, part := range []float64{0.5, 1, 2} {
			var high, median share
			for seed := range uint64(seeds) {
				loads[name].play(seed, func(step int, m forecast.Model, estimate time.Duration, took []time.Duration) {
					elapsed := time.Duration(part * float64(m.Quantile(estimate, 0.5)))
					for _, each := range took {
						if step >= warmUp && step < shiftAt && each > elapsed {
							high.add(each-elapsed <= m.Remaining(estimate, elapsed, 0.9))
							median.add(each-elapsed <= m.Remaining(estimate, elapsed, 0.5))
						}
					}
				})
			}
			t.Logf("%s after %.1f of the median: %.3f and %.3f of %.0f", name, part, high.held/high.of, median.held/median.of, high.of)
			if high.of >= minTasks {
				high.assertNear(c, name, 0.85, 0.95)
				median.assertNear(c, name, 0.45, 0.55)
			}
		}
	}
}

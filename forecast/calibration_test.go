package forecast_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/forecast"
)

// load describes a queue: the deviation of the logarithm of the run times of single tasks, the
// part of them that run seven times longer, the greatest factor by which the estimate of a step
// is wrong, the factor by which run times change after shiftAt steps, and the speeds of workers,
// which the model isn't told.
type load struct {
	deviation, longTasks, estimateError, shift float64
	speeds                                     []float64
}

var (
	kinds = []float64{0.8, 1, 1.25}
	loads = map[string]load{
		"LogNormal": {0.3, 0, 1.9, 2, kinds}, "Wide": {0.6, 0, 1.9, 0.5, kinds}, "GoodEstimates": {0.2, 0, 1, 1, kinds}, "Narrow": {0.05, 0, 1, 1, []float64{1}},
		"HeavyTail": {0.2, 0.03, 1.9, 1.4, kinds}, "ShiftUp": {0.2, 0.03, 1.9, 3, kinds}, "ShiftDown": {0.2, 0.03, 1.9, 1. / 3, kinds},
	}
)

const (
	warmUp, shiftAt, steps, seeds = 20, 120, 160, 20
	// settledAfter is the number of steps after a shift by which the calibration is back.
	settledAfter = 20
	// minCompared is the least number of predictions that a share is computed of.
	minCompared = 1000
)

// play calls visit with each step's estimate, a task and what was known before the step.
func (l load) play(seed uint64, visit func(step int, m forecast.Model, estimate, took time.Duration)) {
	r := rand.New(rand.NewPCG(seed, 1))
	var m forecast.Model
	for step := range steps {
		usual := 2 * math.Exp(0.5*r.NormFloat64())
		estimate, before, tasks := toDuration(usual*math.Pow(l.estimateError, 2*r.Float64()-1)), m, 1+r.IntN(20)
		if step >= shiftAt {
			usual *= l.shift
		}
		for range tasks {
			t := usual * math.Exp(l.deviation*r.NormFloat64()) / l.speeds[r.IntN(len(l.speeds))]
			if r.Float64() < l.longTasks {
				t *= 7
			}
			visit(step, before, estimate, toDuration(t))
			m = m.With(estimate, toDuration(t), 1/float64(tasks))
		}
	}
}

// share counts predictions, and how many of the medians and 90th percentiles held.
type share struct{ count, median, high float64 }

// add compares the remaining time of a task with its predictions.
func (s *share) add(m forecast.Model, estimate, elapsed, took time.Duration) {
	s.count++
	if took-elapsed <= m.Remaining(estimate, elapsed, 0.5) {
		s.median++
	}
	if took-elapsed <= m.Remaining(estimate, elapsed, 0.9) {
		s.high++
	}
}

// Estimates are wrong, some tasks run seven times longer, workers differ in speed and the load
// shifts: 85 to 95% of the 90th percentiles hold, also from 20 steps after a shift on, and for
// tasks that have run for half of their median, for it and for twice as long.
func TestPredictionsAreCalibrated(t *testing.T) {
	for name, l := range loads {
		t.Run(name, func(t *testing.T) {
			elapsed := []float64{0, 0.5, 1, 2}
			remaining, settled := make([]share, len(elapsed)), share{}
			for seed := range uint64(seeds) {
				l.play(seed, func(step int, m forecast.Model, estimate, took time.Duration) {
					if step >= shiftAt+settledAfter {
						settled.add(m, estimate, 0, took)
					}
					for i, part := range elapsed {
						if ran := time.Duration(part * float64(m.Quantile(estimate, 0.5))); step >= warmUp && step < shiftAt && took > ran {
							remaining[i].add(m, estimate, ran, took)
						}
					}
				})
			}
			for i, s := range append(remaining, settled) {
				high, median := s.high/s.count, s.median/s.count
				t.Logf("%d: %.3f and %.3f of %.0f", i, high, median, s.count)
				if s.count >= minCompared {
					qt.Check(t, high >= 0.85 && high <= 0.95, qt.IsTrue)
					qt.Check(t, i == len(elapsed) || median >= 0.45 && median <= 0.55, qt.IsTrue)
				}
			}
		})
	}
}

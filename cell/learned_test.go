package cell_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/forecast"
	"github.com/vanillaquay/vanillaquay/workload"
)

// learnFiveSeconds returns a world in which the tasks of a queue, estimated at 50 s, take 5 s.
func learnFiveSeconds() *world {
	w := newWorld(4)
	for n := range 30 {
		w.submit(job(id(n), "Plain", 4, func(s *workload.Step) { s.Estimate = 50 * second }))
		w.advance(5 * second)
		for _, f := range w.workers {
			f.endAll(cell.EndedDone)
		}
		w.reportAll()
	}
	return w
}

// objective returns the objective that a cell logs for a new job with an estimate of 50 s.
func objective(w *world) float64 {
	w.submit(job(id(1000), "Plain", 1, func(s *workload.Step) { s.Estimate = 50 * second }))
	for _, n := range w.logEntries {
		if n.Job == id(1000) && n.Event == "job submitted" {
			return n.Objective.Seconds()
		}
	}
	return math.NaN()
}

// The owner is replaced in full work. The next one must not go by the declared estimates until
// long tasks have ended again: for some ten seconds all wide jobs were in the wrong order.
func TestNextOwnerGoesOnWithLearnedDurations(t *testing.T) {
	c := qt.New(t)
	w := learnFiveSeconds()
	value, err := codec.Marshal(w.Learned())
	c.Assert(err, qt.IsNil)
	var learned cell.Learned
	c.Assert(codec.Unmarshal(value, &learned), qt.IsNil)
	next := newWorld(4)
	next.RestoreLearned(learned)
	next.advance(second)
	// The objective is twice the duration and one second more.
	want := objective(w)
	c.Assert(want < 20, qt.IsTrue, qt.Commentf("objective %.1f s", want))
	c.Assert(math.Abs(objective(next)-want) < 1, qt.IsTrue)
}

// The owner is replaced by one of this version: it reads the rows of the previous one, whose
// models have no distribution.
func TestLearnedDurationsOfPreviousVersionAreRead(t *testing.T) {
	c := qt.New(t)
	x, y := math.Log(50), math.Log(5)
	value, err := codec.Marshal(map[int]any{1: map[string]map[int]float64{"Plain": {1: 100, 2: 100 * x, 3: 100 * y, 4: 100 * x * x, 5: 100 * x * y}}})
	c.Assert(err, qt.IsNil)
	var learned cell.Learned
	c.Assert(codec.Unmarshal(value, &learned), qt.IsNil)
	next := newWorld(4)
	next.RestoreLearned(learned)
	next.advance(second)
	want := objective(next)
	c.Assert(want > 11 && want < 14, qt.IsTrue, qt.Commentf("objective %.1f s", want))
}

// Damaged values must not make durations infinite or undefined.
func TestImpossibleLearnedValuesAreIgnored(t *testing.T) {
	w := newWorld(4)
	w.RestoreLearned(cell.Learned{
		Durations:      map[string]forecast.Model{"Plain": {Weight: 3, X: math.NaN(), Y: math.Inf(1)}},
		Speeds:         map[string]cell.QueueSpeed{"Plain": {Mean: -1}},
		EligibleRatios: map[string]float64{"Advised": 7},
	})
	w.advance(second)
	qt.Assert(t, objective(w), qt.Equals, 101.0)
	qt.Assert(t, w.Learned(), qt.DeepEquals, newWorld(4).Learned())
}

package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// An operator has to see when the predictions of a queue are wrong: what it is told must be of
// the tasks since the last time, at the speed of their workers, and of few queues.
func TestForecastsAreComparedWithRunTimes(t *testing.T) {
	c := qt.New(t)
	w := newWorld(3)
	w.learnSpeeds("Plain", 2*second, 2*second)
	w.learnVaried("Twice", 3*second, second)
	w.TakeForecasts(1)
	w.learnSpeeds("Plain", 2*second, 2*second)
	w.learnVaried("Twice", 3*second, second)
	forecasts := w.TakeForecasts(1)
	c.Assert(forecasts, qt.HasLen, 1)
	f := forecasts[0]
	c.Assert(f.Queue, qt.Equals, "Plain")
	c.Assert(f.Ended, qt.Equals, 900)
	c.Assert(f.WithinMedian > 0 && f.WithinMedian < f.WithinHigh && f.WithinHigh <= f.Ended, qt.IsTrue, qt.Commentf("%+v", f))
	c.Assert(f.ActualSeconds > 0.98*f.PredictedSeconds && f.ActualSeconds < 1.02*f.PredictedSeconds, qt.IsTrue)
	c.Assert(f.Deviation < 0.1, qt.IsTrue)
	c.Assert(w.TakeForecasts(1), qt.HasLen, 0)
}

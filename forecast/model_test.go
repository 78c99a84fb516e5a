package forecast_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/forecast"
)

const second = time.Second

// learn returns the model after observations with an estimate of one second, in seconds.
func learn(rounds int, took ...float64) (m forecast.Model) {
	for range rounds {
		for _, t := range took {
			m = m.With(second, toDuration(t), 1)
		}
	}
	return m
}

func toDuration(s float64) time.Duration { return time.Duration(s * float64(second)) }

// The order of service goes by the centre: other values than those of the previous version would
// change how deployments with reliable estimates are served. Without observations, estimates are
// trusted.
func TestCentreIsThatOfPreviousVersion(t *testing.T) {
	c := qt.New(t)
	var m forecast.Model
	c.Assert(m.Centre(second), qt.Equals, second)
	c.Assert(math.Abs(m.Quantile(second, 0.5).Seconds()-1) < 1e-6, qt.IsTrue)
	for n := range 300 {
		m = m.With(time.Duration(1+n%7)*second, time.Duration(2000+n%5*700+n%7*100)*time.Millisecond, 1/float64(1+n%20))
	}
	for estimate, want := range map[time.Duration]time.Duration{second / 2: 2311817762, 3 * second: 3102300555, time.Minute: 5072738849} {
		c.Assert(m.Centre(estimate), qt.Equals, want)
	}
}

// A task has run for three times its usual time. In a queue of which some tasks run seven times
// longer it is one of these; in a narrow queue it is a straggler about which nothing is known.
func TestStragglerIsToldFromLongTask(t *testing.T) {
	c := qt.New(t)
	narrow, heavy := learn(20, 0.95, 1, 1.05), learn(3, 1, 0.95, 1.05, 1, 0.95, 1, 1.05, 1, 0.95, 1, 1.05, 1, 1, 7)
	c.Assert(narrow.Remaining(second, 3*second, 0.5) < second, qt.IsTrue)
	c.Assert(heavy.Remaining(second, 3*second, 0.5) > 3*second, qt.IsTrue)
	c.Assert(heavy.Deviation() > 2*narrow.Deviation() && heavy.Mean(second) > narrow.Mean(second), qt.IsTrue)
}

// The values reach the next owner in rows of the store, for 1,850 queues, and models of the
// previous version are read.
func TestEncodedModelIsBoundedAndCompatible(t *testing.T) {
	c := qt.New(t)
	m := learn(100, 0.3, 1, 3)
	for i := range m.Residuals {
		m.Residuals[i] += 0.7
	}
	var decoded, previous forecast.Model
	data, err := codec.Marshal(m)
	c.Assert(err, qt.IsNil)
	c.Assert(len(data) <= 600, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
	c.Assert(codec.Unmarshal(data, &decoded), qt.IsNil)
	c.Assert(decoded, qt.Equals, m)
	data, err = codec.Marshal(map[int]float64{1: 7, 2: 7, 3: 14, 4: 8, 5: 15})
	c.Assert(err, qt.IsNil)
	c.Assert(codec.Unmarshal(data, &previous), qt.IsNil)
	c.Assert(previous, qt.Equals, forecast.Model{Weight: 7, X: 7, Y: 14, XX: 8, XY: 15})
	c.Assert(previous.IsValid(), qt.IsTrue)
}

// Damaged values must not make predictions infinite or undefined.
func TestMalformedModelsAreNotValid(t *testing.T) {
	c := qt.New(t)
	valid := learn(30, 0.5, 1, 2)
	c.Assert(valid.IsValid(), qt.IsTrue)
	c.Assert(valid.With(0, second, 1).With(second, -1, 1).With(second, second, math.NaN()), qt.Equals, valid)
	for i, change := range []func(m *forecast.Model){
		func(m *forecast.Model) { *m = forecast.Model{} }, func(m *forecast.Model) { m.Weight = math.Inf(1) }, func(m *forecast.Model) { m.X = 1e6 },
		func(m *forecast.Model) { m.XY = math.NaN() }, func(m *forecast.Model) { m.Y = math.Inf(-1) }, func(m *forecast.Model) { m.XX = -1 },
		func(m *forecast.Model) { m.Residuals[3] = -1 }, func(m *forecast.Model) { m.Residuals[3] = 1e9 },
		func(m *forecast.Model) { m.MedianOffset = math.NaN() }, func(m *forecast.Model) { m.RankOffset = 7 },
		func(m *forecast.Model) { c.Check(m.Residuals.UnmarshalBinary([]byte{200, 0, 0, 0, 0}), qt.IsNil) },
		func(m *forecast.Model) { c.Check(m.Residuals.UnmarshalBinary([]byte{1, 0}), qt.IsNil) },
	} {
		m := valid
		change(&m)
		c.Check(m.IsValid(), qt.IsFalse, qt.Commentf("case %d", i))
	}
	extreme := learn(3, 1e-9, 1e12)
	for _, p := range []float64{-1, 0.5, 2} {
		c.Check(extreme.Remaining(math.MaxInt64, math.MaxInt64, p) >= 0 && extreme.Quantile(1, p) >= 0, qt.IsTrue)
	}
}

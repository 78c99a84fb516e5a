package metric_test

import (
	"expvar"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/metric"
)

var _ expvar.Var = (*metric.Histogram)(nil)

func TestHistogramSummary(t *testing.T) {
	var h metric.Histogram
	qt.Assert(t, h.Summary(), qt.Equals, metric.Summary{})
	for i := range 100 {
		h.Record(time.Duration(i+1) * time.Millisecond)
	}
	h.Record(time.Hour)
	s := h.Summary()
	qt.Assert(t, s.Count, qt.Equals, int64(101))
	qt.Assert(t, s.P50 > 45*time.Millisecond && s.P50 < 55*time.Millisecond, qt.IsTrue, qt.Commentf("%v", s.P50))
	qt.Assert(t, s.Max >= 9*time.Minute, qt.IsTrue)
}

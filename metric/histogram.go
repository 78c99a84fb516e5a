package metric

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of a histogram in microseconds, up to ten minutes, and its precision.
const (
	minMicroseconds    = int64(1)
	maxMicroseconds    = int64(10 * time.Minute / time.Microsecond)
	significantFigures = 2
)

// Histogram records a distribution of waiting times. It implements expvar.Var. The
// zero value is empty. It is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

// Summary holds the statistics of a histogram.
type Summary struct {
	Count               int64
	P50, P99, Max, Mean time.Duration
}

// Record adds a waiting time. A negative one counts as zero, and one above the range as
// the range's maximum.
func (h *Histogram) Record(wait time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.values == nil {
		h.values = hdrhistogram.New(minMicroseconds, maxMicroseconds, significantFigures)
	}
	// The value is within the bounds, so there is no error.
	_ = h.values.RecordValue(min(max(wait.Microseconds(), 0), maxMicroseconds))
}

// Summary returns the statistics of the values recorded so far.
func (h *Histogram) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.values == nil {
		return Summary{}
	}
	return Summary{
		Count: h.values.TotalCount(),
		P50:   time.Duration(h.values.ValueAtQuantile(50)) * time.Microsecond,
		P99:   time.Duration(h.values.ValueAtQuantile(99)) * time.Microsecond,
		Max:   time.Duration(h.values.Max()) * time.Microsecond,
		Mean:  time.Duration(h.values.Mean() * float64(time.Microsecond)),
	}
}

// String implements expvar.Var. It returns JSON with times in seconds.
func (h *Histogram) String() string {
	s := h.Summary()
	data, err := json.Marshal(struct {
		Count               int64
		P50, P99, Max, Mean float64
	}{s.Count, s.P50.Seconds(), s.P99.Seconds(), s.Max.Seconds(), s.Mean.Seconds()})
	if err != nil {
		return "null"
	}
	return string(data)
}

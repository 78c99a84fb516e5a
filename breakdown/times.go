package breakdown

import (
	"slices"
	"time"
)

// earlier returns the earlier of two times; known may be zero, which means unknown.
func earlier(known, at time.Time) time.Time {
	if known.IsZero() || at.Before(known) {
		return at
	}
	return known
}

// later returns the later of two times.
func later(known, at time.Time) time.Time {
	if at.After(known) {
		return at
	}
	return known
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// percentile returns the time that the given share of times stay below, or 0 without times.
func percentile(times []time.Duration, share float64) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

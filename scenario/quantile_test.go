package scenario_test

import (
	"slices"
	"time"
)

// quantile sorts durations and returns the given percentile, rounded to 0.1 ms.
func quantile(durations []time.Duration, percent int) time.Duration {
	slices.Sort(durations)
	i := (len(durations)*percent + 99) / 100
	return durations[max(0, i-1)].Round(100 * time.Microsecond)
}

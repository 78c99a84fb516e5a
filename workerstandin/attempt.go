package workerstandin

import (
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// attempt is the state of an attempt on the stand-in.
type attempt struct {
	// size is the declared size, used the actual usage when not throttled.
	size, used task.Size
	payload    []byte
	timer      *time.Timer
	// remaining is the run time left at since, ranFor the run time before it, both
	// at the rate without throttling. If remaining is 0, the attempt runs until it
	// is stopped.
	remaining, ranFor time.Duration
	since             time.Time
	throttled         bool
	// plannedOutcome is the outcome if the task completes.
	plannedOutcome task.Outcome
	// outcome is empty while the attempt is running.
	outcome task.Outcome
	body    []byte
}

// slowdown returns the ratio of the attempt's run time to its run time when not
// throttled.
func (t *attempt) slowdown() float64 {
	if !t.throttled || t.size.Processors <= 0 || t.used.Processors <= t.size.Processors {
		return 1
	}
	return float64(t.used.Processors) / float64(t.size.Processors)
}

// advance moves the progress made since the last call from remaining to ranFor.
func (t *attempt) advance(now time.Time) {
	ran := time.Duration(float64(now.Sub(t.since)) / t.slowdown())
	t.ranFor += ran
	if t.remaining > 0 {
		t.remaining = max(t.remaining-ran, time.Nanosecond)
	}
	t.since = now
}

// remainingTime returns the remaining run time at the attempt's present rate.
func (t *attempt) remainingTime() time.Duration {
	return time.Duration(float64(t.remaining) * t.slowdown())
}

// currentUsage returns the present usage of the attempt, throttling included.
func (t *attempt) currentUsage() task.Size {
	used := t.used
	if t.throttled {
		used.Processors = min(used.Processors, t.size.Processors)
	}
	return used
}

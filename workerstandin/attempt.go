package workerstandin

import (
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// attempt is one attempt on the stand-in.
type attempt struct {
	// size is what the owner gave, used what the task takes.
	size, used task.Size
	payload    []byte
	timer      *time.Timer
	// remaining is what is left to run from since on, at the rate of a task that
	// is not throttled; done is what ran before since. A rest of 0 runs until
	// it is stopped.
	remaining, ranFor time.Duration
	since             time.Time
	throttled         bool
	// plannedOutcome is the outcome if the task runs to its end.
	plannedOutcome task.Outcome
	// outcome is empty while the attempt runs.
	outcome task.Outcome
	body    []byte
}

// slowdown returns how much longer the attempt takes than unthrottled.
func (t *attempt) slowdown() float64 {
	if !t.throttled || t.size.Processors <= 0 || t.used.Processors <= t.size.Processors {
		return 1
	}
	return float64(t.used.Processors) / float64(t.size.Processors)
}

// advance moves what ran since the last call into done.
func (t *attempt) advance(now time.Time) {
	ran := time.Duration(float64(now.Sub(t.since)) / t.slowdown())
	t.ranFor += ran
	if t.remaining > 0 {
		t.remaining = max(t.remaining-ran, time.Nanosecond)
	}
	t.since = now
}

// remainingTime returns how long the attempt has yet to run at its rate.
func (t *attempt) remainingTime() time.Duration {
	return time.Duration(float64(t.remaining) * t.slowdown())
}

// currentUsage returns what the attempt takes now.
func (t *attempt) currentUsage() task.Size {
	used := t.used
	if t.throttled {
		used.Processors = min(used.Processors, t.size.Processors)
	}
	return used
}

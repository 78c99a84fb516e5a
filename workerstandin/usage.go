package workerstandin

import (
	"time"

	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/worker"
)

// DefaultUsageInterval is the interval between usage reports.
const DefaultUsageInterval = time.Second

// usageSample is the sampled usage of an attempt.
type usageSample struct {
	attempt task.AttemptID
	used    task.Size
}

// reportUsage reports the samples taken one interval ago and takes new ones.
func (a *Agent) reportUsage() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	for _, s := range a.samples {
		if t, ok := a.attempts[s.attempt]; ok && t.outcome == "" {
			a.emit(worker.Event{Attempt: s.attempt, Used: s.used})
		}
	}
	a.samples = a.samples[:0]
	for id, t := range a.attempts {
		if t.outcome == "" {
			a.samples = append(a.samples, usageSample{attempt: id, used: t.currentUsage()})
		}
	}
	a.usageTimer = time.AfterFunc(a.usageInterval, a.reportUsage)
}

package workerstandin

import (
	"time"

	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/worker"
)

// DefaultUsageInterval is the pause between two reports of usage.
const DefaultUsageInterval = time.Second

// usageSample is what an attempt was seen to take.
type usageSample struct {
	attempt task.AttemptID
	used    task.Size
}

// reportUsage reports what was seen an interval ago and looks again.
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

package workerstandin

import (
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// clock returns the time since the agent started.
func (a *Agent) clock() time.Duration { return time.Since(a.startedAt) }

// renew extends the leases of all attempts to a time on the agent's clock. If they
// lapsed while the process was paused, the attempts are stopped first. The caller
// holds a.mu.
func (a *Agent) renew(until time.Duration) {
	if a.clock() > a.leaseEnd {
		a.stopAll()
	}
	if until <= a.leaseEnd {
		return
	}
	a.leaseEnd = until
	if a.leaseTimer != nil {
		a.leaseTimer.Stop()
	}
	a.leaseTimer = time.AfterFunc(until-a.clock(), a.lapse)
}

// lapse stops all attempts if the leases were not renewed in time.
func (a *Agent) lapse() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.clock() >= a.leaseEnd && !a.closed {
		a.stopAll()
	}
}

// stopAll stops all running attempts. The caller holds a.mu.
func (a *Agent) stopAll() {
	for id, t := range a.attempts {
		if t.outcome == "" {
			a.end(id, t, task.Stopped, nil)
		}
	}
}

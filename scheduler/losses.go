package scheduler

import (
	"sync"
	"time"
)

const (
	// lossWindow is the period in which lost answers are counted.
	lossWindow = 3 * time.Second
	// lossThreshold is the number of lost answers in that period from which the network
	// counts as lossy. Single workers crash or freeze briefly on any day.
	lossThreshold = 3
)

// answerLosses counts lost answers of workers: the hold failed, but the worker answered
// the next one at once. The zero value is ready to use.
type answerLosses struct {
	mu     sync.Mutex
	recent []time.Duration
}

// note records a lost answer.
func (l *answerLosses) note(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recent = append(l.recent, now)
	if len(l.recent) > lossThreshold {
		l.recent = l.recent[1:]
	}
}

// thresholdReached reports whether lossThreshold answers were lost within the last
// lossWindow.
func (l *answerLosses) thresholdReached(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.recent) == lossThreshold && now-l.recent[0] < lossWindow
}

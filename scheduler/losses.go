package scheduler

import (
	"sync"
	"time"
)

const (
	// lossWindow is how long a lost answer counts.
	lossWindow = 3 * time.Second
	// lossBound is how many answers are lost in that time at least when answers are
	// said to be lost. Single workers crash or freeze for a moment on any day.
	lossBound = 3
)

// losses counts answers of workers that were lost: the worker answered the next hold at
// once. The zero value has counted none.
type losses struct {
	mu   sync.Mutex
	last []time.Duration
}

// note counts an answer that was lost.
func (l *losses) note(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = append(l.last, now)
	if len(l.last) > lossBound {
		l.last = l.last[1:]
	}
}

// many reports whether answers are being lost.
func (l *losses) many(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.last) == lossBound && now-l.last[0] < lossWindow
}

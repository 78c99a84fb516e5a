package scheduler

import (
	"sync"
	"time"
)

// currentLife tracks the life of a worker that calls to it are meant for. A worker starts a new
// life each time its process starts; its clock and the numbers of its ends start anew. The zero
// value has no life, and calls are for any. It is safe for concurrent use.
type currentLife struct {
	mu   sync.Mutex
	life int64
	// heard reports whether this life answered the last hold. clockOffset is its clock minus
	// this host's, and is known only then.
	heard       bool
	clockOffset time.Duration
}

// get returns the life, its clock minus this host's, and whether it answered the last hold.
func (c *currentLife) get() (life int64, clockOffset time.Duration, heard bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.life, c.clockOffset, c.heard
}

// replace sets the life, which has not been heard yet, unless it is no longer the given
// previous one.
func (c *currentLife) replace(previous, life int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.life == previous && life != previous {
		c.life, c.heard = life, false
	}
}

// setHeard notes that a life has answered a hold. It reports false if that is not the current
// life, and whether the last hold was answered too.
func (c *currentLife) setHeard(life int64, clockOffset time.Duration) (current, before bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.life != life {
		return false, false
	}
	before = c.heard
	c.heard, c.clockOffset = true, clockOffset
	return true, before
}

// setSilent notes that a life has not answered a hold. It reports whether it had answered the
// last one and is current.
func (c *currentLife) setSilent(life int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.life != life || !c.heard {
		return false
	}
	c.heard = false
	return true
}

package front

import (
	"sync"
	"time"

	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/scheduler"
)

const (
	// maxCachedAdvice bounds the number of entries in the advice cache.
	maxCachedAdvice = 256
	// maxCachedAge bounds the age of cached advice. Which workers may run a step never
	// changes, but most steps have started by then.
	maxCachedAge = 30 * time.Second
)

// adviceCache keeps answers of the advice service for the next owner of the cell: a
// question takes up to a second, and an owner that takes over has hundreds of them. The
// zero value is empty.
type adviceCache struct {
	mu      sync.Mutex
	entries []cachedAdvice
}

type cachedAdvice struct {
	advice   scheduler.Advice
	cachedAt time.Duration
}

func (a *adviceCache) add(advice scheduler.Advice) {
	if advice.Failed != "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.entries) >= maxCachedAdvice {
		a.entries = append(a.entries[:0], a.entries[maxCachedAdvice/4:]...)
	}
	a.entries = append(a.entries, cachedAdvice{advice: advice, cachedAt: clock.Now()})
}

// recent returns the cached advice that was given to owners before the one with the given
// fencing token, stamped with that token.
func (a *adviceCache) recent(fence int64) []scheduler.Advice {
	now := clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var recent []scheduler.Advice
	for _, entry := range a.entries {
		if now-entry.cachedAt < maxCachedAge && entry.advice.Fence < fence {
			advice := entry.advice
			advice.Fence, advice.Age = fence, now-entry.cachedAt
			recent = append(recent, advice)
		}
	}
	return recent
}

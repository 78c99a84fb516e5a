package front

import (
	"sync"
	"time"

	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/scheduler"
)

const (
	// maxCachedAdvice bounds the answers of the advice service that a host keeps.
	maxCachedAdvice = 256
	// maxCachedAge is how long an answer is kept. Which workers may run a step never
	// changes, but most steps have started by then.
	maxCachedAge = 30 * time.Second
)

// adviceCache keeps what the advice service said, for the next owner of the cell: a
// question takes up to a second, and an owner that takes over has hundreds. The zero
// value is empty.
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

// recent returns the answers for the owner with a fencing token.
func (a *adviceCache) recent(fence int64) []scheduler.Advice {
	now := clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var recent []scheduler.Advice
	for _, k := range a.entries {
		if now-k.cachedAt < maxCachedAge && k.advice.Fence < fence {
			advice := k.advice
			advice.Fence, advice.Age = fence, now-k.cachedAt
			recent = append(recent, advice)
		}
	}
	return recent
}

package front

import (
	"sync"
	"time"

	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/scheduler"
)

const (
	// answersKept bounds the answers of the advice service that a host keeps.
	answersKept = 256
	// answersAge is how long an answer is kept. Which workers may run a step never
	// changes, but most steps have started by then.
	answersAge = 30 * time.Second
)

// answers keeps what the advice service said, for the next owner of the cell: a
// question takes up to a second, and an owner that takes over has hundreds. The zero
// value is empty.
type answers struct {
	mu   sync.Mutex
	kept []keptAnswer
}

type keptAnswer struct {
	advice scheduler.Advice
	at     time.Duration
}

func (a *answers) keep(advice scheduler.Advice) {
	if advice.Failed != "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.kept) >= answersKept {
		a.kept = append(a.kept[:0], a.kept[answersKept/4:]...)
	}
	a.kept = append(a.kept, keptAnswer{advice: advice, at: clock.Now()})
}

// recent returns the answers for the owner with a fencing token.
func (a *answers) recent(fence int64) []scheduler.Advice {
	now := clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var recent []scheduler.Advice
	for _, k := range a.kept {
		if now-k.at < answersAge && k.advice.Fence < fence {
			advice := k.advice
			advice.Fence, advice.Age = fence, now-k.at
			recent = append(recent, advice)
		}
	}
	return recent
}

package baseline

import (
	"math/rand/v2"

	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/task"
)

// policy chooses a worker with room, or nil.
type policy interface {
	choose(workers []*host, size task.Size) *host
}

// host is one worker as the scheduler sees it.
type host struct {
	id, rack       string
	state          rack.WorkerState
	capacity, free task.Size
}

func (h *host) takes(size task.Size) bool { return h.state == rack.Up && size.Fits(h.free) }

// firstFit takes the first worker with room.
type firstFit struct{}

func (firstFit) choose(workers []*host, size task.Size) *host {
	for _, h := range workers {
		if h.takes(size) {
			return h
		}
	}
	return nil
}

// bestFit takes the worker that is left with the least room.
type bestFit struct{}

func (bestFit) choose(workers []*host, size task.Size) *host {
	var best *host
	var least float64
	for _, h := range workers {
		if !h.takes(size) {
			continue
		}
		rest := h.free.Minus(size).DominantShare(h.capacity)
		if best == nil || rest < least {
			best, least = h, rest
		}
	}
	return best
}

// randomOfTwo draws two workers and takes the one with more room.
type randomOfTwo struct{ random *rand.Rand }

func (p randomOfTwo) choose(workers []*host, size task.Size) *host {
	if len(workers) == 0 {
		return nil
	}
	a, b := workers[p.random.IntN(len(workers))], workers[p.random.IntN(len(workers))]
	if !a.takes(size) || b.takes(size) && b.free.DominantShare(b.capacity) > a.free.DominantShare(a.capacity) {
		a = b
	}
	if !a.takes(size) {
		return nil
	}
	return a
}

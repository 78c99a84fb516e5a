package baseline

import (
	"math/rand/v2"

	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/task"
)

// policy chooses a worker with enough free capacity, or nil.
type policy interface {
	choose(workers []*workerView, size task.Size) *workerView
}

// workerView is a worker as known to the scheduler.
type workerView struct {
	id, rack       string
	state          rack.WorkerState
	capacity, free task.Size
}

func (h *workerView) fits(size task.Size) bool { return h.state == rack.Up && size.Fits(h.free) }

// firstFit chooses the first worker with enough free capacity.
type firstFit struct{}

func (firstFit) choose(workers []*workerView, size task.Size) *workerView {
	for _, h := range workers {
		if h.fits(size) {
			return h
		}
	}
	return nil
}

// bestFit chooses the worker that will have the least free capacity left.
type bestFit struct{}

func (bestFit) choose(workers []*workerView, size task.Size) *workerView {
	var best *workerView
	var least float64
	for _, h := range workers {
		if !h.fits(size) {
			continue
		}
		leftover := h.free.Minus(size).DominantShare(h.capacity)
		if best == nil || leftover < least {
			best, least = h, leftover
		}
	}
	return best
}

// randomOfTwo draws two workers and chooses the one with more free capacity.
type randomOfTwo struct{ random *rand.Rand }

func (p randomOfTwo) choose(workers []*workerView, size task.Size) *workerView {
	if len(workers) == 0 {
		return nil
	}
	a, b := workers[p.random.IntN(len(workers))], workers[p.random.IntN(len(workers))]
	if !a.fits(size) || b.fits(size) && b.free.DominantShare(b.capacity) > a.free.DominantShare(a.capacity) {
		a = b
	}
	if !a.fits(size) {
		return nil
	}
	return a
}

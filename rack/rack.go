package rack

import (
	"slices"
	"strings"

	"github.com/vanillaquay/vanillaquay/task"
)

// Reasons why a rack refuses an attempt.
const (
	// ReasonNoCapacity tells that no worker of the rack has room.
	ReasonNoCapacity = "NoRoom"
	// ReasonNotOwned tells that the asked member does not own the rack.
	ReasonNotOwned = "NotOwned"
	// ReasonStale tells that the command was sent too long ago.
	ReasonStale = "Stale"
	// ReasonWorkerRefused tells that the worker did not obey.
	ReasonWorkerRefused = "WorkerRefused"
)

// ReserveResult answers a reservation.
type ReserveResult struct {
	// Worker is empty if the reservation was refused.
	Worker string
	// Reason is empty if the reservation was granted.
	Reason string
}

// Rack holds the workers of one rack and what each has given out. Use New.
type Rack struct {
	name, region, zone string
	epoch, sequence    uint64
	doubtBelow         uint64
	partial            bool
	// workers is in order of ID.
	workers []*host
	// given holds every reservation; the sum per worker never exceeds the
	// worker's capacity, except for what an inventory brought in.
	given map[task.AttemptID]reservation
}

// host is one worker.
type host struct {
	id       string
	state    WorkerState
	capacity task.Size
	// instance differs after a restart of the worker's agent.
	instance uint64
	// used is the sum of the reservations on this worker.
	used task.Size
}

// reservation is the room given to one attempt.
type reservation struct {
	worker *host
	size   task.Size
}

// New returns a rack without workers, decided under the given epoch.
func New(name, region, zone string, epoch uint64) *Rack {
	return &Rack{name: name, region: region, zone: zone, epoch: epoch, given: map[task.AttemptID]reservation{}}
}

// Epoch returns the epoch under which the rack decides.
func (r *Rack) Epoch() uint64 { return r.epoch }

// Sequence returns the number of changes so far.
func (r *Rack) Sequence() uint64 { return r.sequence }

// SetWorker adds a worker, or changes the state and capacity of a known one.
func (r *Rack) SetWorker(id string, state WorkerState, capacity task.Size) {
	r.sequence++
	if h := r.worker(id); h != nil {
		h.state, h.capacity = state, capacity
		return
	}
	r.workers = append(r.workers, &host{id: id, state: state, capacity: capacity})
	slices.SortFunc(r.workers, func(a, b *host) int { return strings.Compare(a.id, b.id) })
}

// SetState changes the state of a known worker.
func (r *Rack) SetState(id string, state WorkerState) {
	if h := r.worker(id); h != nil && h.state != state {
		h.state = state
		r.sequence++
	}
}

// SetInstance notes which instance of a known worker's agent was heard last, by this
// owner or one before.
func (r *Rack) SetInstance(id string, instance uint64) {
	if h := r.worker(id); h != nil && h.instance != instance {
		h.instance = instance
		r.sequence++
	}
}

// SetDoubtBelow tells below which epoch attempts may have run that the next owner can't
// know of; 0 is no doubt.
func (r *Rack) SetDoubtBelow(below uint64) {
	if r.doubtBelow != below {
		r.doubtBelow = below
		r.sequence++
	}
}

// SetPartial tells whether the rack may have workers that its owner does not know of.
func (r *Rack) SetPartial(partial bool) {
	if r.partial != partial {
		r.partial = partial
		r.sequence++
	}
}

// RemoveWorker drops a worker and the reservations on it.
func (r *Rack) RemoveWorker(id string) {
	if r.worker(id) == nil {
		return
	}
	for _, attempt := range r.Attempts(id) {
		r.Release(attempt)
	}
	r.workers = slices.DeleteFunc(r.workers, func(h *host) bool { return h.id == id })
	r.sequence++
}

// State returns the state of a worker, or Silent if it is not known.
func (r *Rack) State(id string) WorkerState {
	if h := r.worker(id); h != nil {
		return h.state
	}
	return Silent
}

// Reserve gives room for an attempt on the preferred worker, or else on the
// one that it fills best of those that are not avoided. A repeat for the same
// attempt gets the same verdict.
func (r *Rack) Reserve(id task.AttemptID, size task.Size, preferred string, avoided ...string) ReserveResult {
	if g, ok := r.given[id]; ok {
		return ReserveResult{Worker: g.worker.id}
	}
	h := r.worker(preferred)
	if h == nil || !h.takes(size) {
		h = r.bestFit(size, avoided)
	}
	if h == nil {
		return ReserveResult{Reason: ReasonNoCapacity}
	}
	r.give(id, size, h)
	return ReserveResult{Worker: h.id}
}

// Adopt records an attempt that a worker was found to run.
func (r *Rack) Adopt(id task.AttemptID, size task.Size, worker string) {
	if _, ok := r.given[id]; ok {
		return
	}
	if h := r.worker(worker); h != nil {
		r.give(id, size, h)
	}
}

// Release takes the room of an attempt back and reports whether it had any.
func (r *Rack) Release(id task.AttemptID) bool {
	g, ok := r.given[id]
	if !ok {
		return false
	}
	delete(r.given, id)
	g.worker.used = g.worker.used.Minus(g.size)
	r.sequence++
	return true
}

// WorkerOf returns the worker on which an attempt has room.
func (r *Rack) WorkerOf(id task.AttemptID) (string, bool) {
	g, ok := r.given[id]
	if !ok {
		return "", false
	}
	return g.worker.id, true
}

// Attempts returns the attempts that have room on a worker.
func (r *Rack) Attempts(worker string) []task.AttemptID {
	var ids []task.AttemptID
	for id, g := range r.given {
		if g.worker.id == worker {
			ids = append(ids, id)
		}
	}
	return ids
}

// Digest returns what the other members may know.
func (r *Rack) Digest() Digest {
	d := Digest{Rack: r.name, Region: r.region, Zone: r.zone, Epoch: r.epoch, Sequence: r.sequence, DoubtBelow: r.doubtBelow, Partial: r.partial}
	d.Workers = make([]WorkerSummary, len(r.workers))
	for i, h := range r.workers {
		d.Workers[i] = WorkerSummary{ID: h.id, State: h.state, Capacity: h.capacity, Free: h.capacity.Minus(h.used), Instance: h.instance}
	}
	return d
}

func (r *Rack) give(id task.AttemptID, size task.Size, h *host) {
	h.used = h.used.Plus(size)
	r.given[id] = reservation{worker: h, size: size}
	r.sequence++
}

func (r *Rack) worker(id string) *host {
	for _, h := range r.workers {
		if h.id == id {
			return h
		}
	}
	return nil
}

// bestFit returns the worker that is left with the smallest dominant share of
// free capacity, or nil if none has room but those that are avoided.
func (r *Rack) bestFit(size task.Size, avoided []string) *host {
	var best *host
	var least float64
	for _, h := range r.workers {
		if !h.takes(size) || slices.Contains(avoided, h.id) {
			continue
		}
		rest := h.capacity.Minus(h.used).Minus(size).DominantShare(h.capacity)
		if best == nil || rest < least {
			best, least = h, rest
		}
	}
	return best
}

func (h *host) takes(size task.Size) bool {
	return h.state == Up && size.Fits(h.capacity.Minus(h.used))
}

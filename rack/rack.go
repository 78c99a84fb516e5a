package rack

import (
	"slices"
	"strings"

	"github.com/vanillaquay/vanillaquay/task"
)

// Reasons why a rack refuses an attempt.
const (
	// ReasonNoCapacity means that no worker of the rack has enough free capacity, or that
	// the worker with the reservation has stopped responding.
	ReasonNoCapacity = "NoRoom"
	// ReasonNotOwned means that the member that received the command does not own the
	// rack.
	ReasonNotOwned = "NotOwned"
	// ReasonStale means that the command was sent under an earlier epoch of the rack, or
	// that its attempt has been refused already.
	ReasonStale = "Stale"
	// ReasonWorkerRefused means that the worker refused the start or could not be sent it.
	ReasonWorkerRefused = "WorkerRefused"
)

// ReserveResult is the result of Reserve.
type ReserveResult struct {
	// Worker is empty if the reservation was refused.
	Worker string
	// Reason is empty if the reservation was granted.
	Reason string
}

// Rack holds the workers of one rack and the reservations on them. Use New to make one.
type Rack struct {
	name, region, zone string
	epoch, sequence    uint64
	doubtBelow         uint64
	partial            bool
	// workers is sorted by ID.
	workers []*workerEntry
	// reservations holds every reservation. Their sum per worker never exceeds its
	// capacity, except for adopted attempts.
	reservations map[task.AttemptID]reservation
}

// workerEntry is one worker of the rack.
type workerEntry struct {
	id       string
	state    WorkerState
	capacity task.Size
	// instance changes with a restart of the worker's agent.
	instance uint64
	// reserved is the sum of the reservations on this worker.
	reserved task.Size
}

// reservation is the capacity reserved for one attempt.
type reservation struct {
	worker *workerEntry
	size   task.Size
}

// New returns a rack without workers, owned under the given epoch.
func New(name, region, zone string, epoch uint64) *Rack {
	return &Rack{name: name, region: region, zone: zone, epoch: epoch, reservations: map[task.AttemptID]reservation{}}
}

// Epoch returns the epoch under which the rack is owned.
func (r *Rack) Epoch() uint64 { return r.epoch }

// Sequence returns the number of changes so far.
func (r *Rack) Sequence() uint64 { return r.sequence }

// SetWorker adds a worker, or changes the state and capacity of an existing one.
func (r *Rack) SetWorker(id string, state WorkerState, capacity task.Size) {
	r.sequence++
	if w := r.findWorker(id); w != nil {
		w.state, w.capacity = state, capacity
		return
	}
	r.workers = append(r.workers, &workerEntry{id: id, state: state, capacity: capacity})
	slices.SortFunc(r.workers, func(a, b *workerEntry) int { return strings.Compare(a.id, b.id) })
}

// SetState changes the state of an existing worker.
func (r *Rack) SetState(id string, state WorkerState) {
	if w := r.findWorker(id); w != nil && w.state != state {
		w.state = state
		r.sequence++
	}
}

// SetInstance records the instance of an existing worker's agent that this owner or an
// earlier one last heard from.
func (r *Rack) SetInstance(id string, instance uint64) {
	if w := r.findWorker(id); w != nil && w.instance != instance {
		w.instance = instance
		r.sequence++
	}
}

// SetDoubtBelow sets the digest's DoubtBelow; 0 means no doubt.
func (r *Rack) SetDoubtBelow(below uint64) {
	if r.doubtBelow != below {
		r.doubtBelow = below
		r.sequence++
	}
}

// SetPartial sets whether the rack may have workers unknown to its owner.
func (r *Rack) SetPartial(partial bool) {
	if r.partial != partial {
		r.partial = partial
		r.sequence++
	}
}

// RemoveWorker removes a worker and the reservations on it.
func (r *Rack) RemoveWorker(id string) {
	if r.findWorker(id) == nil {
		return
	}
	for _, attempt := range r.Attempts(id) {
		r.Release(attempt)
	}
	r.workers = slices.DeleteFunc(r.workers, func(w *workerEntry) bool { return w.id == id })
	r.sequence++
}

// State returns the state of a worker, or Silent if it is not known.
func (r *Rack) State(id string) WorkerState {
	if w := r.findWorker(id); w != nil {
		return w.state
	}
	return Silent
}

// Reserve reserves capacity for an attempt on the preferred worker, or else on the
// best-fit worker that is not avoided. A repeat for the same attempt has the same result.
func (r *Rack) Reserve(id task.AttemptID, size task.Size, preferred string, avoided ...string) ReserveResult {
	if res, ok := r.reservations[id]; ok {
		return ReserveResult{Worker: res.worker.id}
	}
	w := r.findWorker(preferred)
	if w == nil || !w.canReserve(size) {
		w = r.bestFit(size, avoided)
	}
	if w == nil {
		return ReserveResult{Reason: ReasonNoCapacity}
	}
	r.addReservation(id, size, w)
	return ReserveResult{Worker: w.id}
}

// Adopt records the reservation of an attempt from a worker's inventory.
func (r *Rack) Adopt(id task.AttemptID, size task.Size, worker string) {
	if _, ok := r.reservations[id]; ok {
		return
	}
	if w := r.findWorker(worker); w != nil {
		r.addReservation(id, size, w)
	}
}

// Release releases the reservation of an attempt and reports whether it had one.
func (r *Rack) Release(id task.AttemptID) bool {
	res, ok := r.reservations[id]
	if !ok {
		return false
	}
	delete(r.reservations, id)
	res.worker.reserved = res.worker.reserved.Minus(res.size)
	r.sequence++
	return true
}

// WorkerOf returns the worker on which an attempt has a reservation.
func (r *Rack) WorkerOf(id task.AttemptID) (string, bool) {
	res, ok := r.reservations[id]
	if !ok {
		return "", false
	}
	return res.worker.id, true
}

// Attempts returns the attempts that have a reservation on a worker.
func (r *Rack) Attempts(worker string) []task.AttemptID {
	var ids []task.AttemptID
	for id, res := range r.reservations {
		if res.worker.id == worker {
			ids = append(ids, id)
		}
	}
	return ids
}

// Digest returns the summary of the rack for the other members.
func (r *Rack) Digest() Digest {
	d := Digest{Rack: r.name, Region: r.region, Zone: r.zone, Epoch: r.epoch, Sequence: r.sequence, DoubtBelow: r.doubtBelow, Partial: r.partial}
	d.Workers = make([]WorkerSummary, len(r.workers))
	for i, w := range r.workers {
		d.Workers[i] = WorkerSummary{ID: w.id, State: w.state, Capacity: w.capacity, Free: w.capacity.Minus(w.reserved), Instance: w.instance}
	}
	return d
}

func (r *Rack) addReservation(id task.AttemptID, size task.Size, w *workerEntry) {
	w.reserved = w.reserved.Plus(size)
	r.reservations[id] = reservation{worker: w, size: size}
	r.sequence++
}

func (r *Rack) findWorker(id string) *workerEntry {
	for _, w := range r.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

// bestFit returns the worker with the smallest dominant share of free capacity after the
// reservation, or nil if no worker fits that is not avoided.
func (r *Rack) bestFit(size task.Size, avoided []string) *workerEntry {
	var best *workerEntry
	var least float64
	for _, w := range r.workers {
		if !w.canReserve(size) || slices.Contains(avoided, w.id) {
			continue
		}
		rest := w.capacity.Minus(w.reserved).Minus(size).DominantShare(w.capacity)
		if best == nil || rest < least {
			best, least = w, rest
		}
	}
	return best
}

func (w *workerEntry) canReserve(size task.Size) bool {
	return w.state == Up && size.Fits(w.capacity.Minus(w.reserved))
}

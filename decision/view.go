package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/task"
)

// view is what the core knows of one rack: the latest digest less the room
// that was asked for since.
type view struct {
	digest rack.Digest
	// capacity is the sum over all workers.
	capacity task.Size
	// unknownCount is the number of workers whose capacity is not known.
	unknownCount int
	// free is what each worker of digest has left, less the debits.
	free []task.Size
	// grownAt is when the room of each worker of digest last grew, as far as it is
	// kept for others, in nanoseconds of Unix time; zero is long ago.
	grownAt []int64
	// maxFree is the largest value of each field over the workers that are up, so
	// that a size beyond it fits none.
	maxFree task.Size
	// debits holds the room asked for that digest does not include yet.
	debits map[task.AttemptID]debit
	// credits holds the room of attempts whose end digest does not include yet;
	// nil is none.
	credits map[task.AttemptID]debit
	// closed are the workers in quarantine, and those on probation that have a
	// task; nil is none.
	closed map[string]bool
	// avoided are the workers that other members have barred; nil is none.
	avoided map[string]bool
	// reserved are the workers kept for an all-at-once job; nil is none.
	reserved map[string]bool
}

// debit is room asked for one attempt.
type debit struct {
	worker string
	size   task.Size
	// epoch and sequence are those of the first digest that includes the
	// attempt; sequence is 0 until the rack's owner has answered.
	epoch, sequence uint64
}

func newView() *view { return &view{debits: map[task.AttemptID]debit{}} }

// update takes a newer digest and reports whether it was newer.
func (v *view) update(d rack.Digest) bool {
	if !d.Newer(v.digest) {
		return false
	}
	v.replace(withKnownWorkers(d, v.digest.Workers))
	return true
}

func (v *view) replace(d rack.Digest) {
	v.digest = d
	if len(v.grownAt) != len(d.Workers) {
		v.grownAt = make([]int64, len(d.Workers))
	}
	v.capacity = task.Size{}
	for _, w := range d.Workers {
		v.capacity = v.capacity.Plus(w.Capacity)
	}
	dropIncluded(v.debits, d)
	dropIncluded(v.credits, d)
	v.recomputeFree()
}

// dropIncluded forgets what a digest includes.
func dropIncluded(debits map[task.AttemptID]debit, d rack.Digest) {
	for id, b := range debits {
		if b.includedIn(d) {
			delete(debits, id)
		}
	}
}

func (b debit) includedIn(d rack.Digest) bool {
	if b.sequence == 0 {
		return false
	}
	return d.Epoch > b.epoch || d.Epoch == b.epoch && d.Sequence >= b.sequence
}

func (v *view) recomputeFree() {
	v.free = v.free[:0]
	for _, w := range v.digest.Workers {
		v.free = append(v.free, w.Free)
	}
	for _, b := range v.debits {
		v.subtractFree(b.worker, b.size)
	}
	for _, b := range v.credits {
		v.addFree(b.worker, b.size)
	}
	v.updateMaxFree()
}

func (v *view) updateMaxFree() {
	v.maxFree = task.Size{}
	for i := range v.digest.Workers {
		if !v.accepting(i) {
			continue
		}
		v.maxFree.Processors = max(v.maxFree.Processors, v.free[i].Processors)
		v.maxFree.Memory = max(v.maxFree.Memory, v.free[i].Memory)
		v.maxFree.Accelerators = max(v.maxFree.Accelerators, v.free[i].Accelerators)
		v.maxFree.Slots = max(v.maxFree.Slots, v.free[i].Slots)
		v.maxFree.Connections = max(v.maxFree.Connections, v.free[i].Connections)
	}
}

// totalFree returns what the workers that take new attempts have left together.
func (v *view) totalFree() task.Size {
	var sum task.Size
	for i, free := range v.free {
		if v.accepting(i) {
			sum = sum.Plus(free)
		}
	}
	return sum
}

// accepting reports whether a worker takes new attempts.
func (v *view) accepting(i int) bool {
	w := &v.digest.Workers[i]
	return w.State == rack.Up && !v.closed[w.ID] && !v.avoided[w.ID]
}

// subtractFree lowers what a worker has left. The caller calls findTop afterwards.
func (v *view) subtractFree(worker string, size task.Size) {
	for i := range v.digest.Workers {
		if v.digest.Workers[i].ID == worker {
			v.free[i] = v.free[i].Minus(size)
			return
		}
	}
}

// addFree raises what a worker has left. The caller calls findTop afterwards.
func (v *view) addFree(worker string, size task.Size) {
	v.subtractFree(worker, task.Size{}.Minus(size))
}

// addDebit debits room on a worker for an attempt.
func (v *view) addDebit(id task.AttemptID, worker string, size task.Size) {
	if old, ok := v.debits[id]; ok {
		v.addFree(old.worker, old.size)
	}
	v.debits[id] = debit{worker: worker, size: size}
	v.subtractFree(worker, size)
	v.updateMaxFree()
}

// cancelDebit gives the room of an attempt back for which nothing was sent, and
// reports whether there was any.
func (v *view) cancelDebit(id task.AttemptID) bool {
	b, ok := v.debits[id]
	if !ok || b.sequence != 0 {
		return false
	}
	v.removeDebit(id, b)
	return true
}

func (v *view) removeDebit(id task.AttemptID, b debit) {
	delete(v.debits, id)
	v.addFree(b.worker, b.size)
	v.updateMaxFree()
}

// applyReport notes the answer of the rack's owner and reports whether room grew:
// granted room stays debited until a digest includes it, refused room is free
// again.
func (v *view) applyReport(r Report) bool {
	b, ok := v.debits[r.Attempt]
	if !ok {
		return false
	}
	if r.Status == Refused {
		v.removeDebit(r.Attempt, b)
		return true
	}
	if r.Worker != "" && r.Worker != b.worker {
		v.addFree(b.worker, b.size)
		v.subtractFree(r.Worker, b.size)
		b.worker = r.Worker
	}
	b.epoch, b.sequence = r.Epoch, r.Sequence
	v.debits[r.Attempt] = b
	if b.includedIn(v.digest) {
		v.removeDebit(r.Attempt, b)
		return true
	}
	v.updateMaxFree()
	return false
}

// addCredit counts the room of an attempt that has ended as free until a digest
// includes the end, and reports whether room grew. The rack's owner refuses what
// it has no room for, so that a credit too many does no harm.
func (v *view) addCredit(r Report, size task.Size, now time.Time) bool {
	b := debit{worker: r.Worker, size: size, epoch: r.Epoch, sequence: r.Sequence}
	if r.Worker == "" || r.Sequence == 0 || b.includedIn(v.digest) {
		return false
	}
	if v.credits == nil {
		v.credits = map[task.AttemptID]debit{}
	}
	v.credits[r.Attempt] = b
	v.addFree(b.worker, size)
	for i := range v.digest.Workers {
		if v.digest.Workers[i].ID == b.worker {
			v.noteWorkerGrowth(i, now)
		}
	}
	v.updateMaxFree()
	return true
}

// fits reports whether a worker that is up has room for size.
func (v *view) fits(size task.Size) bool {
	if !size.Fits(v.maxFree) {
		return false
	}
	for i := range v.digest.Workers {
		if v.accepting(i) && size.Fits(v.free[i]) {
			return true
		}
	}
	return false
}

// bestFit returns the worker that the size fits best, and its rank; ok is false
// if none has room that may be used.
func (v *view) bestFit(size task.Size, r capacityFilter) (worker int, rest float64, ok bool) {
	if !size.Fits(v.maxFree) {
		return 0, 0, false
	}
	for i := range v.digest.Workers {
		w := &v.digest.Workers[i]
		if !size.Fits(v.free[i]) || !r.allows(v, i) {
			continue
		}
		left := leftoverRank(v.free[i], size, w.Capacity)
		if !ok || left < rest {
			worker, rest, ok = i, left, true
		}
	}
	return worker, rest, ok
}

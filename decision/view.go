package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/task"
)

// view is the core's state of one rack: its latest digest, adjusted by the
// commands and reports that the digest does not include yet.
type view struct {
	digest rack.Digest
	// capacity is the summed capacity of all workers.
	capacity task.Size
	// unknownCount is the number of workers whose capacity is unknown.
	unknownCount int
	// free is the free capacity of each worker of digest, less the debits and
	// plus the credits.
	free []task.Size
	// grownAt is when the free capacity of each worker of digest last grew and
	// began to be kept for other members, in nanoseconds of Unix time; zero is
	// never.
	grownAt []int64
	// maxFree is the maximum of each field of free over the accepting workers;
	// a size beyond it fits none.
	maxFree task.Size
	// debits holds requested capacity that digest does not include yet.
	debits map[task.AttemptID]debit
	// credits holds the capacity of ended attempts whose end digest does not
	// include yet; nil is none.
	credits map[task.AttemptID]debit
	// closed holds the workers in quarantine and those on probation that run a
	// task; nil is none.
	closed map[string]bool
	// avoided holds the workers in quarantine or on probation at other members;
	// nil is none.
	avoided map[string]bool
	// reserved holds the workers reserved for a gang; nil is none.
	reserved map[string]bool
}

// debit is capacity requested for one attempt, or as a credit the capacity of
// one that has ended.
type debit struct {
	worker string
	size   task.Size
	// epoch and sequence are those of the first digest that includes the
	// change; sequence is 0 until the rack's owner has answered.
	epoch, sequence uint64
}

func newView() *view { return &view{debits: map[task.AttemptID]debit{}} }

// update applies a digest and reports whether it was newer than the current
// one.
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

// dropIncluded drops the debits or credits that a digest includes.
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

// totalFree returns the summed free capacity of the accepting workers.
func (v *view) totalFree() task.Size {
	var sum task.Size
	for i, free := range v.free {
		if v.accepting(i) {
			sum = sum.Plus(free)
		}
	}
	return sum
}

// accepting reports whether a worker accepts new attempts.
func (v *view) accepting(i int) bool {
	w := &v.digest.Workers[i]
	return w.State == rack.Up && !v.closed[w.ID] && !v.avoided[w.ID]
}

// subtractFree reduces the free capacity of a worker. The caller must call
// updateMaxFree.
func (v *view) subtractFree(worker string, size task.Size) {
	for i := range v.digest.Workers {
		if v.digest.Workers[i].ID == worker {
			v.free[i] = v.free[i].Minus(size)
			return
		}
	}
}

// addFree increases the free capacity of a worker. The caller must call
// updateMaxFree.
func (v *view) addFree(worker string, size task.Size) {
	v.subtractFree(worker, task.Size{}.Minus(size))
}

// addDebit debits a worker for an attempt.
func (v *view) addDebit(id task.AttemptID, worker string, size task.Size) {
	if old, ok := v.debits[id]; ok {
		v.addFree(old.worker, old.size)
	}
	v.debits[id] = debit{worker: worker, size: size}
	v.subtractFree(worker, size)
	v.updateMaxFree()
}

// cancelDebit removes the debit of an attempt that the rack's owner has not
// answered, and reports whether there was one.
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

// applyReport applies the rack owner's answer to a debit and reports whether
// free capacity grew. Granted capacity stays debited until a digest includes
// it; refused capacity is free again.
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

// addCredit counts the capacity of an ended attempt as free until a digest
// includes the end, and reports whether it did. A wrong credit does no harm,
// since the rack's owner refuses what does not fit.
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

// fits reports whether size fits the free capacity of an accepting worker.
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
// if the job may use no worker.
func (v *view) bestFit(size task.Size, f capacityFilter) (worker int, rank float64, ok bool) {
	if !size.Fits(v.maxFree) {
		return 0, 0, false
	}
	for i := range v.digest.Workers {
		w := &v.digest.Workers[i]
		if !size.Fits(v.free[i]) || !f.allows(v, i) {
			continue
		}
		leftover := leftoverRank(v.free[i], size, w.Capacity)
		if !ok || leftover < rank {
			worker, rank, ok = i, leftover, true
		}
	}
	return worker, rank, ok
}

package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/rack"
)

// Work is refused as never fitting only if every worker that might run it is
// known. A worker that has not reported to a new owner of its rack counts with
// its last known capacity, and so do the workers of racks that are unreachable.
// While a listed rack or a worker has never reported its capacity, work that
// fits no known worker stays queued, for a bounded time.

// Bounds of the wait for unknown capacity before work is refused as never
// fitting.
const (
	// unknownCapacityTimeout bounds the wait for workers of unknown capacity.
	unknownCapacityTimeout = time.Minute
	// unreachableTimeout is how long the workers of an unreachable rack still
	// count.
	unreachableTimeout = 2 * time.Hour
)

// unreachableRack is a rack of the cell without a view.
type unreachableRack struct {
	// workers are those of the last digest; nil if there was none.
	workers []rack.WorkerSummary
	since   time.Time
}

// setListedRacks replaces the list of the platform's racks. Listed racks
// without a view count as unreachable; racks without a view that are no longer
// listed are dropped.
func (c *cell) setListedRacks(racks []string, now time.Time) {
	before := c.unreachable
	c.unreachable = map[string]unreachableRack{}
	for _, name := range racks {
		f, known := before[name]
		if !known {
			f.since = now
		}
		if c.viewByName(name) == nil {
			c.unreachable[name] = f
		}
	}
}

// markUnreachable removes the view of a rack and remembers its workers.
func (c *cell) markUnreachable(name string, now time.Time) {
	v := c.viewByName(name)
	if v == nil {
		return
	}
	c.removeRack(name)
	if c.unreachable == nil {
		c.unreachable = map[string]unreachableRack{}
	}
	c.unreachable[name] = unreachableRack{workers: v.digest.Workers, since: now}
}

// withKnownWorkers returns a digest in which workers without a reported
// capacity or instance have those of an earlier digest.
func withKnownWorkers(d rack.Digest, earlier []rack.WorkerSummary) rack.Digest {
	copied := false
	for i, w := range d.Workers {
		if !w.Capacity.IsZero() && w.Instance != 0 {
			continue
		}
		known := workerByID(w.ID, earlier)
		if !w.Capacity.IsZero() {
			known.Capacity = w.Capacity
		}
		if w.Instance != 0 {
			known.Instance = w.Instance
		}
		if known.Capacity == w.Capacity && known.Instance == w.Instance {
			continue
		}
		if !copied {
			d.Workers = append([]rack.WorkerSummary(nil), d.Workers...)
			copied = true
		}
		d.Workers[i].Capacity, d.Workers[i].Instance = known.Capacity, known.Instance
	}
	return d
}

// workerByID returns the worker with an ID, or the zero value.
func workerByID(id string, workers []rack.WorkerSummary) rack.WorkerSummary {
	for _, w := range workers {
		if w.ID == id {
			return w
		}
	}
	return rack.WorkerSummary{}
}

// countUnknownCapacity returns the number of workers whose capacity is unknown.
func countUnknownCapacity(workers []rack.WorkerSummary) int {
	n := 0
	for _, w := range workers {
		if w.Capacity.IsZero() {
			n++
		}
	}
	return n
}

// updateUnknownCount updates the counts of workers of unknown capacity after a
// change of a view.
func (c *cell) updateUnknownCount(v *view, now time.Time) {
	n := countUnknownCapacity(v.digest.Workers)
	if n > v.unknownCount {
		c.unknownSince = now
	}
	c.unknownCount += n - v.unknownCount
	v.unknownCount = n
}

// fullyKnown reports whether enough is known to refuse work as never fitting.
func (c *cell) fullyKnown(now time.Time, discovery time.Duration) bool {
	if len(c.views) == 0 || now.Before(c.grownAt.Add(discovery)) {
		return false
	}
	if c.unknownCount > 0 && now.Before(c.unknownSince.Add(unknownCapacityTimeout)) {
		return false
	}
	for _, f := range c.unreachable {
		unknown := f.workers == nil || countUnknownCapacity(f.workers) > 0
		if unknown && now.Before(f.since.Add(unreachableTimeout)) {
			return false
		}
	}
	return true
}

// eachWorker calls visit for each worker of the views and of the unreachable
// racks until it returns false.
func (c *cell) eachWorker(now time.Time, visit func(rack.WorkerSummary) bool) {
	for _, v := range c.views {
		for _, w := range v.digest.Workers {
			if !visit(w) {
				return
			}
		}
	}
	for _, f := range c.unreachable {
		if !now.Before(f.since.Add(unreachableTimeout)) {
			continue
		}
		for _, w := range f.workers {
			if !visit(w) {
				return
			}
		}
	}
}

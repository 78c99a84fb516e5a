package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/rack"
)

// Work is told that it never fits only if every worker that might hold it is
// known. A worker whose new owner has not heard it yet counts with the capacity
// that was last told; so do the racks that can't be reached now. While there is a
// listed rack or a worker of which nothing was ever told, work that fits nothing
// known waits, for a bounded time.

// Bounds of what the core waits for before it says that work never fits.
const (
	// unknownCapacityTimeout is how long a worker may stay unheard by the owner of its rack.
	unknownCapacityTimeout = time.Minute
	// unreachableTimeout is how long a rack may stay out of reach.
	unreachableTimeout = 2 * time.Hour
)

// unreachableRack is a rack that no digest tells of now. The zero value was never told.
type unreachableRack struct {
	// workers are those of the last digest.
	workers []rack.WorkerSummary
	since   time.Time
}

// setListedRacks replaces the racks that the platform lists, those of the driver's
// view left out. One that is not listed any more is waited for no longer.
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

// markUnreachable forgets what a rack has free, and remembers its workers.
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

// withKnownWorkers returns a digest in which the workers that its owner has not
// heard yet have the capacities and instances of an earlier one.
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

// workerByID returns a worker by its ID, or the zero value.
func workerByID(id string, workers []rack.WorkerSummary) rack.WorkerSummary {
	for _, w := range workers {
		if w.ID == id {
			return w
		}
	}
	return rack.WorkerSummary{}
}

// countUnknownCapacity returns the number of workers of which no capacity is known.
func countUnknownCapacity(workers []rack.WorkerSummary) int {
	n := 0
	for _, w := range workers {
		if w.Capacity.IsZero() {
			n++
		}
	}
	return n
}

// updateUnknownCount keeps the number of unheard workers when that of a view changes.
func (c *cell) updateUnknownCount(v *view, now time.Time) {
	n := countUnknownCapacity(v.digest.Workers)
	if n > v.unknownCount {
		c.unknownSince = now
	}
	c.unknownCount += n - v.unknownCount
	v.unknownCount = n
}

// fullyKnown reports whether enough is known to say that work never fits.
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

// eachWorker calls a function with each worker of the cell and of the racks that can't
// be reached now, until it returns false.
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

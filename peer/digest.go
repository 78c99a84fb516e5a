package peer

import (
	"slices"
	"strings"

	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/task"
)

// Digests carries what racks have free, as differences from what was sent before
// over the same connection.
type Digests struct {
	Changes []DigestChange `cbor:"1,keyasint"`
}

// DigestWanted requests the complete digests of racks.
type DigestWanted struct {
	Racks []string `cbor:"1,keyasint"`
}

// DigestChange is a complete digest of a rack, or its difference from an earlier
// digest of the same epoch.
type DigestChange struct {
	Rack     string `cbor:"1,keyasint"`
	Epoch    uint64 `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint"`
	// BaseSequence is the sequence of the digest that the change applies to; 0 marks
	// a complete digest.
	BaseSequence uint64 `cbor:"4,keyasint,omitempty"`
	// Region and Zone are set in a complete digest only.
	Region string `cbor:"5,keyasint,omitempty"`
	Zone   string `cbor:"6,keyasint,omitempty"`
	// Workers holds the workers that differ.
	Workers []WorkerChange `cbor:"7,keyasint,omitempty"`
	// Removed holds the workers that have left the rack.
	Removed []string `cbor:"8,keyasint,omitempty"`
	// DoubtBelow is copied from the digest.
	DoubtBelow uint64 `cbor:"9,keyasint,omitempty"`
	// Partial is copied from the digest.
	Partial bool `cbor:"10,keyasint,omitempty"`
}

// WorkerChange is the free capacity of one worker. An absent State, Capacity or
// Instance is unchanged.
type WorkerChange struct {
	ID       string           `cbor:"1,keyasint"`
	State    rack.WorkerState `cbor:"2,keyasint,omitempty"`
	Capacity *task.Size       `cbor:"3,keyasint,omitempty"`
	Free     task.Size        `cbor:"4,keyasint"`
	Instance uint64           `cbor:"5,keyasint,omitempty"`
}

// NewDigestChange returns the difference between an older and a newer digest of
// the same rack. It is a complete digest if the epochs differ or the older digest
// is the zero value.
func NewDigestChange(older, newer rack.Digest) DigestChange {
	c := DigestChange{Rack: newer.Rack, Epoch: newer.Epoch, Sequence: newer.Sequence, DoubtBelow: newer.DoubtBelow, Partial: newer.Partial}
	if older.Epoch != newer.Epoch || older.Sequence == 0 {
		c.Region, c.Zone = newer.Region, newer.Zone
		older = rack.Digest{}
	}
	c.BaseSequence = older.Sequence
	for _, w := range newer.Workers {
		if change, differs := newWorkerChange(older, w); differs {
			c.Workers = append(c.Workers, change)
		}
	}
	for _, w := range older.Workers {
		if _, found := findWorker(newer.Workers, w.ID); !found {
			c.Removed = append(c.Removed, w.ID)
		}
	}
	return c
}

func newWorkerChange(older rack.Digest, w rack.WorkerSummary) (WorkerChange, bool) {
	c := WorkerChange{ID: w.ID, State: w.State, Capacity: &w.Capacity, Free: w.Free, Instance: w.Instance}
	i, found := findWorker(older.Workers, w.ID)
	if !found {
		return c, true
	}
	old := older.Workers[i]
	if old.State == w.State {
		c.State = ""
	}
	if old.Capacity == w.Capacity {
		c.Capacity = nil
	}
	if old.Instance == w.Instance {
		c.Instance = 0
	}
	return c, old != w
}

// Apply returns the digest that results from a change of an older one. It returns
// false if the change has another base, in which case the receiver needs a
// complete digest.
func (c DigestChange) Apply(older rack.Digest) (rack.Digest, bool) {
	newer := rack.Digest{Rack: c.Rack, Region: c.Region, Zone: c.Zone, Epoch: c.Epoch, Sequence: c.Sequence, DoubtBelow: c.DoubtBelow, Partial: c.Partial}
	if c.BaseSequence != 0 {
		if older.Epoch != c.Epoch || older.Sequence != c.BaseSequence {
			return rack.Digest{}, false
		}
		newer.Region, newer.Zone = older.Region, older.Zone
		newer.Workers = slices.DeleteFunc(slices.Clone(older.Workers), func(w rack.WorkerSummary) bool {
			return slices.Contains(c.Removed, w.ID)
		})
	}
	for _, w := range c.Workers {
		newer.Workers = w.applyTo(newer.Workers)
	}
	return newer, true
}

// applyTo returns the workers with the change applied, ordered by ID.
func (c WorkerChange) applyTo(workers []rack.WorkerSummary) []rack.WorkerSummary {
	i, found := findWorker(workers, c.ID)
	if !found {
		workers = slices.Insert(workers, i, rack.WorkerSummary{ID: c.ID})
	}
	workers[i].Free = c.Free
	if c.Instance != 0 {
		workers[i].Instance = c.Instance
	}
	if c.State != "" {
		workers[i].State = c.State
	}
	if c.Capacity != nil {
		workers[i].Capacity = *c.Capacity
	}
	return workers
}

func findWorker(workers []rack.WorkerSummary, id string) (int, bool) {
	return slices.BinarySearchFunc(workers, id, func(w rack.WorkerSummary, id string) int { return strings.Compare(w.ID, id) })
}

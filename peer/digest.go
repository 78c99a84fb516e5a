package peer

import (
	"slices"
	"strings"

	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/task"
)

// Digests tells what racks have free, as changes of what was told before over
// the same connection.
type Digests struct {
	Changes []DigestChange `cbor:"1,keyasint"`
}

// DigestWanted asks for the whole digests of racks.
type DigestWanted struct {
	Racks []string `cbor:"1,keyasint"`
}

// DigestChange is a digest of a rack, or its difference from an earlier one of
// the same epoch.
type DigestChange struct {
	Rack     string `cbor:"1,keyasint"`
	Epoch    uint64 `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint"`
	// BaseSequence is the sequence that the change follows on; 0 is a whole digest.
	BaseSequence uint64 `cbor:"4,keyasint,omitempty"`
	// Region and Zone matter to a whole digest.
	Region string `cbor:"5,keyasint,omitempty"`
	Zone   string `cbor:"6,keyasint,omitempty"`
	// Workers holds those that differ.
	Workers []WorkerChange `cbor:"7,keyasint,omitempty"`
	// Removed holds the workers that have left the rack.
	Removed []string `cbor:"8,keyasint,omitempty"`
	// DoubtBelow is as in the digest.
	DoubtBelow uint64 `cbor:"9,keyasint,omitempty"`
	// Partial is as in the digest.
	Partial bool `cbor:"10,keyasint,omitempty"`
}

// WorkerChange is what one worker has left. An absent State, Capacity or
// Instance is as before.
type WorkerChange struct {
	ID       string           `cbor:"1,keyasint"`
	State    rack.WorkerState `cbor:"2,keyasint,omitempty"`
	Capacity *task.Size       `cbor:"3,keyasint,omitempty"`
	Free     task.Size        `cbor:"4,keyasint"`
	Instance uint64           `cbor:"5,keyasint,omitempty"`
}

// NewDigestChange returns what leads from an older digest to a newer one of the same
// rack. The zero digest leads to a whole one.
func NewDigestChange(older, newer rack.Digest) DigestChange {
	c := DigestChange{Rack: newer.Rack, Epoch: newer.Epoch, Sequence: newer.Sequence, DoubtBelow: newer.DoubtBelow, Partial: newer.Partial}
	if older.Epoch != newer.Epoch || older.Sequence == 0 {
		c.Region, c.Zone = newer.Region, newer.Zone
		older = rack.Digest{}
	}
	c.BaseSequence = older.Sequence
	for _, w := range newer.Workers {
		if change, differs := changeOfWorker(older, w); differs {
			c.Workers = append(c.Workers, change)
		}
	}
	for _, w := range older.Workers {
		if _, found := find(newer.Workers, w.ID); !found {
			c.Removed = append(c.Removed, w.ID)
		}
	}
	return c
}

func changeOfWorker(older rack.Digest, w rack.WorkerSummary) (WorkerChange, bool) {
	c := WorkerChange{ID: w.ID, State: w.State, Capacity: &w.Capacity, Free: w.Free, Instance: w.Instance}
	i, found := find(older.Workers, w.ID)
	if !found {
		return c, true
	}
	before := older.Workers[i]
	if before.State == w.State {
		c.State = ""
	}
	if before.Capacity == w.Capacity {
		c.Capacity = nil
	}
	if before.Instance == w.Instance {
		c.Instance = 0
	}
	return c, before != w
}

// Apply returns the digest that follows on an older one, or false if the change
// does not fit it and a whole digest is needed.
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

// applyTo returns the workers with one changed, in order of ID.
func (c WorkerChange) applyTo(workers []rack.WorkerSummary) []rack.WorkerSummary {
	i, found := find(workers, c.ID)
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

func find(workers []rack.WorkerSummary, id string) (int, bool) {
	return slices.BinarySearchFunc(workers, id, func(w rack.WorkerSummary, id string) int { return strings.Compare(w.ID, id) })
}

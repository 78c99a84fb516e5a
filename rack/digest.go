package rack

import "github.com/vanillaquay/vanillaquay/task"

// WorkerState determines whether a worker accepts new attempts.
type WorkerState string

// The states of a worker in its rack.
const (
	// Syncing is a worker whose inventory has not been received under this epoch.
	Syncing WorkerState = "Syncing"
	// Up is a worker that accepts new attempts.
	Up WorkerState = "Up"
	// Leaving is a worker that completes its attempts and accepts no new ones.
	Leaving WorkerState = "Leaving"
	// Silent is a worker that does not respond.
	Silent WorkerState = "Silent"
	// Quarantined is a worker that accepts no new attempts for now because it failed too
	// often.
	Quarantined WorkerState = "Quarantined"
)

// WorkerSummary is the state and the free capacity of one worker.
type WorkerSummary struct {
	ID       string      `cbor:"1,keyasint"`
	State    WorkerState `cbor:"2,keyasint"`
	Capacity task.Size   `cbor:"3,keyasint"`
	Free     task.Size   `cbor:"4,keyasint"`
	// Instance is that of the worker's agent when the rack's owner or an earlier one last
	// heard from it; it changes with a restart. 0 means not known.
	Instance uint64 `cbor:"5,keyasint,omitempty"`
}

// Digest is the summary of a rack that its owner sends to the other members.
type Digest struct {
	Rack   string `cbor:"1,keyasint"`
	Region string `cbor:"2,keyasint"`
	Zone   string `cbor:"3,keyasint"`
	// Epoch is that of the owner's claim; a digest of a lower epoch is stale.
	Epoch uint64 `cbor:"4,keyasint"`
	// Sequence increases with every change under one epoch.
	Sequence uint64 `cbor:"5,keyasint"`
	// Workers is sorted by ID.
	Workers []WorkerSummary `cbor:"6,keyasint"`
	// DoubtBelow is an epoch: attempts sent under a lower one may have run in the rack
	// without the next owner knowing of them. 0 means no doubt.
	DoubtBelow uint64 `cbor:"7,keyasint,omitempty"`
	// Partial reports whether Workers may lack some on which an attempt may run: the owner
	// does not know all workers of its predecessor.
	Partial bool `cbor:"8,keyasint,omitempty"`
}

// Newer reports whether d replaces o, another digest of the same rack.
func (d Digest) Newer(o Digest) bool {
	if d.Epoch != o.Epoch {
		return d.Epoch > o.Epoch
	}
	return d.Sequence > o.Sequence
}

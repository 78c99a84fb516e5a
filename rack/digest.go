package rack

import "github.com/vanillaquay/vanillaquay/task"

// WorkerState tells whether a worker takes new attempts.
type WorkerState string

// The states of a worker in its rack.
const (
	// Syncing is a worker whose inventory is not known under this epoch.
	Syncing WorkerState = "Syncing"
	// Up is a worker that takes attempts.
	Up WorkerState = "Up"
	// Leaving is a worker that finishes what it has and takes nothing new.
	Leaving WorkerState = "Leaving"
	// Silent is a worker that does not answer.
	Silent WorkerState = "Silent"
	// Quarantined is a worker that failed too much and takes nothing for now.
	Quarantined WorkerState = "Quarantined"
)

// WorkerSummary is what one worker has left.
type WorkerSummary struct {
	ID       string      `cbor:"1,keyasint"`
	State    WorkerState `cbor:"2,keyasint"`
	Capacity task.Size   `cbor:"3,keyasint"`
	Free     task.Size   `cbor:"4,keyasint"`
	// Instance is the agent that was heard last, by the rack's owner or one before;
	// it differs after a restart. 0 is not known.
	Instance uint64 `cbor:"5,keyasint,omitempty"`
}

// Digest is what a rack's owner tells the other members about the rack.
type Digest struct {
	Rack   string `cbor:"1,keyasint"`
	Region string `cbor:"2,keyasint"`
	Zone   string `cbor:"3,keyasint"`
	// Epoch is that of the owner's claim; a digest of a lower epoch is stale.
	Epoch uint64 `cbor:"4,keyasint"`
	// Sequence rises with every change under one epoch.
	Sequence uint64 `cbor:"5,keyasint"`
	// Workers is in order of ID.
	Workers []WorkerSummary `cbor:"6,keyasint"`
	// DoubtBelow is the epoch under which attempts may have run in the rack of
	// which the next owner can't know: those that were asked for under a lower
	// one. 0 is no doubt.
	DoubtBelow uint64 `cbor:"7,keyasint,omitempty"`
	// Partial tells that Workers may lack some on which an attempt may run: the owner
	// does not know all that the one before it had.
	Partial bool `cbor:"8,keyasint,omitempty"`
}

// Newer reports whether d replaces an older digest o of the same rack.
func (d Digest) Newer(o Digest) bool {
	if d.Epoch != o.Epoch {
		return d.Epoch > o.Epoch
	}
	return d.Sequence > o.Sequence
}

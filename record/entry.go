package record

import (
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/task"
)

// Verb is the kind of transition that an entry records.
type Verb string

// The verbs of entries.
const (
	// Accept records that a piece of work was accepted.
	Accept Verb = "Accept"
	// Begin records that an attempt may start in a rack from now on.
	Begin Verb = "Begin"
	// End records the outcome of an attempt.
	End Verb = "End"
	// Final records the final answer to a piece of work.
	Final Verb = "Final"
	// Fence records that a new owner took the partition over.
	Fence Verb = "Fence"
)

// Begun is an attempt and the rack in which it may start.
type Begun struct {
	Attempt task.AttemptID `cbor:"1,keyasint"`
	Rack    string         `cbor:"2,keyasint"`
	// Failures and Losses are set in a snapshot only: how many earlier attempts of the
	// task ended with an error of their own, and how many were lost.
	Failures int `cbor:"3,keyasint,omitempty"`
	Losses   int `cbor:"4,keyasint,omitempty"`
	// Epoch is that of the rack's owner which may start the attempt; 0 if it is not
	// known.
	Epoch uint64 `cbor:"5,keyasint,omitempty"`
}

// Entry is one transition. Verb determines which of the other fields are used.
type Entry struct {
	Verb Verb      `cbor:"1,keyasint"`
	At   time.Time `cbor:"2,keyasint,omitempty"`
	// Work is used by Accept.
	Work *task.Work `cbor:"3,keyasint,omitempty"`
	// Begun is used by Begin, and by an Accept whose work begins at once.
	Begun []Begun `cbor:"4,keyasint,omitempty"`
	// Attempt, Outcome and Body are used by End.
	Attempt task.AttemptID `cbor:"5,keyasint,omitempty"`
	Outcome task.Outcome   `cbor:"6,keyasint,omitempty"`
	Body    []byte         `cbor:"7,keyasint,omitempty"`
	// Answer is used by Final.
	Answer *task.Answer `cbor:"8,keyasint,omitempty"`
	// Owner and Epoch are used by Fence.
	Owner string `cbor:"9,keyasint,omitempty"`
	Epoch uint64 `cbor:"10,keyasint,omitempty"`
	// Ran is used by Accept in a snapshot. It reports whether an attempt started before
	// those that the snapshot contains.
	Ran bool `cbor:"11,keyasint,omitempty"`
	// Worker is used by End. It is the worker that ran the attempt, if known.
	Worker string `cbor:"12,keyasint,omitempty"`
}

// Key returns the key of the work that the entry concerns; the zero key for a Fence.
func (e Entry) Key() task.Key {
	switch e.Verb {
	case Accept:
		return e.Work.Key()
	case Begin:
		return e.Begun[0].Attempt.Work
	case End:
		return e.Attempt.Work
	case Final:
		return e.Answer.Key()
	default:
		return task.Key{}
	}
}

// Check returns an error if a field that the verb requires is missing or out of range, as
// in a damaged row.
func (e Entry) Check() error {
	complete := true
	switch e.Verb {
	case Accept:
		complete = e.Work != nil && e.Work.Tasks >= 1 && e.Work.Tasks <= task.MaxTasks
	case Begin:
		complete = len(e.Begun) > 0
	case End:
		complete = e.Attempt.Task >= 0
	case Final:
		complete = e.Answer != nil
	case Fence:
	default:
		return errors.NotValidf("entry with verb %q", e.Verb)
	}
	if !complete {
		return errors.NotValidf("entry %s with a missing or invalid field", e.Verb)
	}
	return nil
}

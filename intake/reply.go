package intake

import (
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

// Outcome is what became of a call.
type Outcome string

// The outcomes. The zero value is a call of which nothing is known.
const (
	Unknown Outcome = ""
	// Accepted is a job that is recorded, or a cancellation.
	Accepted Outcome = "Accepted"
	// Reported is the state of a job.
	Reported Outcome = "Told"
	// Counted is the number of jobs that wait.
	Counted Outcome = "Counted"
	// NotFound is a job that is not known.
	NotFound Outcome = "Gone"
	// Overloaded and Unavailable are calls without an effect.
	Overloaded  Outcome = "Overloaded"
	Unavailable Outcome = "Unavailable"
)

// Reply is the answer to a call.
type Reply struct {
	Outcome Outcome        `cbor:"1,keyasint"`
	State   workload.State `cbor:"2,keyasint,omitempty"`
	Waiting int            `cbor:"3,keyasint,omitempty"`
	// RetryAfter is when a caller should come back.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	// Why is for the log.
	Why string `cbor:"5,keyasint,omitempty"`
}

// isRefusal reports whether a reply says that a call had no effect.
func (r Reply) isRefusal() bool { return r.Outcome == Overloaded || r.Outcome == Unavailable }

// Answer brings a reply back.
type Answer struct {
	Number uint64 `cbor:"1,keyasint"`
	Reply  Reply  `cbor:"2,keyasint"`
	// NotOwner tells that the call had no effect at the receiver.
	NotOwner bool `cbor:"3,keyasint,omitempty"`
}

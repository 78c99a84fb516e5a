package intake

import (
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

// Outcome is the outcome of a call.
type Outcome string

// The outcomes of a call. The zero value means that the outcome is not known.
const (
	Unknown Outcome = ""
	// Accepted means that the job or its cancellation is recorded.
	Accepted Outcome = "Accepted"
	// Reported means that the reply has the state of a job.
	Reported Outcome = "Told"
	// Counted means that the reply has the number of waiting jobs.
	Counted Outcome = "Counted"
	// NotFound means that the job is not known.
	NotFound Outcome = "Gone"
	// Overloaded and Unavailable mean that the call had no effect.
	Overloaded  Outcome = "Overloaded"
	Unavailable Outcome = "Unavailable"
	// Unauthorised means that the owner does not accept the caller's key. The call had no
	// effect.
	Unauthorised Outcome = "Unauthorised"
)

// Reply is the answer to a call.
type Reply struct {
	Outcome Outcome        `cbor:"1,keyasint"`
	State   workload.State `cbor:"2,keyasint,omitempty"`
	Waiting int            `cbor:"3,keyasint,omitempty"`
	// RetryAfter is how long a caller should wait before it retries.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	// Why is the reason, for the log.
	Why string `cbor:"5,keyasint,omitempty"`
	// Fence is the fencing token of the owner that replied, for the log; 0 if none did.
	Fence int64 `cbor:"6,keyasint,omitempty"`
}

// isRefusal reports whether a reply says that the call had no effect.
func (r Reply) isRefusal() bool {
	return r.Outcome == Overloaded || r.Outcome == Unavailable || r.Outcome == Unauthorised
}

// Answer is a reply as it is sent to the host that forwarded the call.
type Answer struct {
	Number uint64 `cbor:"1,keyasint"`
	Reply  Reply  `cbor:"2,keyasint"`
	// NotOwner reports that the receiver does not own the cell, so that the call had no
	// effect there.
	NotOwner bool `cbor:"3,keyasint,omitempty"`
}

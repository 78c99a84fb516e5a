package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/task"
)

// Action is an instruction to the driver. The types of this file and
// SendSummary implement it.
type Action interface{ isAction() }

// Record asks the driver to make an entry durable in a partition's journal.
type Record struct {
	Token     uint64
	Partition string
	Entry     record.Entry
}

// Verb is what a Command asks of a rack's owner.
type Verb string

// The verbs of a Command.
const (
	// Place starts an attempt; the answer is Placed or Refused.
	Place Verb = "Place"
	// Hold reserves capacity for an attempt; the answer is Held or Refused.
	Hold Verb = "Hold"
	// Confirm starts a held attempt; the answer is Placed or Refused.
	Confirm Verb = "Confirm"
	// Withdraw stops an attempt, or prevents one from starting; the answer is
	// Ended or Refused.
	Withdraw Verb = "Withdraw"
	// Settle queries the state of an attempt; the answer is any status.
	Settle Verb = "Settle"
	// Forget acknowledges the end of an attempt; it has no answer.
	Forget Verb = "Forget"
	// Checkpoint saves the state of an attempt and ends it; the answer is
	// Ended.
	Checkpoint Verb = "Checkpoint"
	// Throttle limits an attempt to the size it was given; it has no answer.
	Throttle Verb = "Throttle"
)

// Command asks the driver to send a request about one attempt to the owner of a
// rack.
type Command struct {
	Verb    Verb           `cbor:"1,keyasint"`
	Attempt task.AttemptID `cbor:"2,keyasint"`
	Rack    string         `cbor:"3,keyasint"`
	// Worker is the preferred worker; the rack's owner may choose another.
	Worker string `cbor:"4,keyasint,omitempty"`
	// Size, Kind, RunTime and Payload are set for Place, Hold and Confirm.
	Size    task.Size     `cbor:"5,keyasint,omitempty"`
	Kind    task.Kind     `cbor:"6,keyasint,omitempty"`
	RunTime time.Duration `cbor:"7,keyasint,omitempty"`
	Payload []byte        `cbor:"8,keyasint,omitempty"`
	// Partition is the partition of the work.
	Partition string `cbor:"9,keyasint,omitempty"`
	// Durable reports whether the work needs a durable record before it starts.
	Durable bool `cbor:"10,keyasint,omitempty"`
	// Avoid lists the rack's workers that must not be chosen instead of the
	// preferred one because too many attempts failed on them.
	Avoid []string `cbor:"11,keyasint,omitempty"`
	// Epoch is that of the digest by which the rack was chosen; 0 is unknown.
	// The rack's owner starts the attempt under no other epoch.
	Epoch uint64 `cbor:"12,keyasint,omitempty"`
}

// Reply asks the driver to answer a caller.
type Reply struct {
	Caller uint64
	Answer task.Answer
}

func (Record) isAction()  {}
func (Command) isAction() {}
func (Reply) isAction()   {}

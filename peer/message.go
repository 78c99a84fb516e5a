package peer

import (
	"time"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/task"
)

// Kind names the type of a message; it is the topic that receivers subscribe
// to.
type Kind string

// The kinds of messages.
const (
	// KindCall is a Call to the owner of a partition.
	KindCall Kind = "Call"
	// KindAnswer is the Answer to a Call.
	KindAnswer Kind = "Answer"
	// KindCommand is a Command to the owner of a rack.
	KindCommand Kind = "Command"
	// KindReport is a decision.Report to the owner of a partition.
	KindReport Kind = "Report"
	// KindUsage is a decision.Usage to the owner of a partition.
	KindUsage Kind = "Usage"
	// KindDigest is a Digests to every member.
	KindDigest Kind = "Digest"
	// KindDigestWanted is a DigestWanted to a member whose Digests do not
	// follow on what the sender has.
	KindDigestWanted Kind = "DigestWanted"
	// KindSummary is a decision.Summary to the members of a region.
	KindSummary Kind = "Summary"
	// KindOwnership is an OwnershipChanged to the members of a region.
	KindOwnership Kind = "Ownership"
	// KindConfiguration is a Configuration to every member.
	KindConfiguration Kind = "Configuration"
	// KindApplied is an Applied to the member that sent a Configuration.
	KindApplied Kind = "Applied"
	// KindEpochs is an Epochs to the witnesses of a rack's owner.
	KindEpochs Kind = "Epochs"
	// KindEpochsKnown is the EpochsKnown that answers it.
	KindEpochsKnown Kind = "EpochsKnown"
	// KindJobCall is an intake.Call to the owner of the cell, and KindJobAnswer
	// the intake.Answer to it.
	KindJobCall   Kind = "JobCall"
	KindJobAnswer Kind = "JobAnswer"
	// KindQuestion is a question for the advice service, which a member asks on
	// behalf of the owner; KindAdvice is what it was told.
	KindQuestion Kind = "Question"
	KindAdvice   Kind = "Advice"
	// KindWorkerCalls is a carrier.Calls to a member that makes them on behalf of the
	// owner, and KindWorkerAnswers the carrier.Answers to it.
	KindWorkerCalls   Kind = "WorkerCalls"
	KindWorkerAnswers Kind = "WorkerAnswers"
	// KindTenure tells all members who owns the cell.
	KindTenure Kind = "Tenure"
)

// CallVerb names what a caller wants.
type CallVerb string

// The verbs of a call.
const (
	Submit CallVerb = "Submit"
	Status CallVerb = "Status"
	Cancel CallVerb = "Cancel"
)

// Call is a caller's request on its way to the owner of its partition.
type Call struct {
	// Number identifies the call at the instance of the member that sent it.
	Number    uint64    `cbor:"1,keyasint"`
	Verb      CallVerb  `cbor:"2,keyasint"`
	Wait      bool      `cbor:"3,keyasint,omitempty"`
	Partition string    `cbor:"4,keyasint"`
	Key       task.Key  `cbor:"5,keyasint"`
	Work      task.Work `cbor:"6,keyasint,omitempty"`
	// Instance is that of the sender; the answer repeats it.
	Instance string `cbor:"7,keyasint"`
	// TimeLeft is how long the caller waits from the time of sending; 0 is until
	// it asks for nothing more.
	TimeLeft time.Duration `cbor:"8,keyasint,omitempty"`
	// Retried tells that an owner may have taken a copy of the call before.
	Retried bool `cbor:"9,keyasint,omitempty"`
}

// Answer is the reply to a call.
type Answer struct {
	Number uint64      `cbor:"1,keyasint"`
	Answer task.Answer `cbor:"2,keyasint"`
	// Instance is that of the call.
	Instance string `cbor:"3,keyasint"`
	// NotOwner tells that the receiver of the call does not decide about the
	// work, and that the call had no effect.
	NotOwner bool `cbor:"4,keyasint,omitempty"`
}

// Command is a command to a rack's owner.
type Command struct {
	// Partition and Epoch name the claim under which the sender decides.
	Partition string           `cbor:"1,keyasint"`
	Epoch     uint64           `cbor:"2,keyasint"`
	Command   decision.Command `cbor:"3,keyasint"`
}

// OwnershipChanged tells that the sender has handed something over, so that
// receivers look at the table at once.
type OwnershipChanged struct{}

// Configuration is a change that was accepted.
type Configuration struct {
	// Row is the content of the row as JSON.
	Row []byte `cbor:"1,keyasint"`
}

// Applied tells which version of the configuration is in force at the sender.
type Applied struct {
	Version uint64 `cbor:"1,keyasint"`
}

// Epochs asks whether a later owner of the sender's racks is known.
type Epochs struct {
	// Number identifies the question at the sender.
	Number uint64 `cbor:"1,keyasint"`
	// Racks holds the epochs under which the sender owns racks.
	Racks map[string]uint64 `cbor:"2,keyasint"`
}

// EpochsKnown answers an Epochs.
type EpochsKnown struct {
	Number uint64 `cbor:"1,keyasint"`
	// Higher holds the racks of which a higher epoch is known.
	Higher map[string]uint64 `cbor:"2,keyasint,omitempty"`
}

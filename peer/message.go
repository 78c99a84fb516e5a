package peer

import (
	"time"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/task"
)

// Kind names the type of a message; it is the topic that receivers subscribe to.
type Kind string

// The kinds of messages.
const (
	// KindCall is for a Call to the owner of a partition.
	KindCall Kind = "Call"
	// KindAnswer is for the Answer to a Call.
	KindAnswer Kind = "Answer"
	// KindCommand is for a Command to the owner of a rack.
	KindCommand Kind = "Command"
	// KindReport is for a decision.Report to the owner of a partition.
	KindReport Kind = "Report"
	// KindUsage is for a decision.Usage to the owner of a partition.
	KindUsage Kind = "Usage"
	// KindDigest is for Digests to every member.
	KindDigest Kind = "Digest"
	// KindDigestWanted is for a DigestWanted to a member whose Digests do not
	// apply to what the sender has.
	KindDigestWanted Kind = "DigestWanted"
	// KindSummary is for a decision.Summary to the members of a region.
	KindSummary Kind = "Summary"
	// KindOwnership is for an OwnershipChanged to the members of a region.
	KindOwnership Kind = "Ownership"
	// KindConfiguration is for a Configuration to every member.
	KindConfiguration Kind = "Configuration"
	// KindApplied is for an Applied to the member that sent a Configuration.
	KindApplied Kind = "Applied"
	// KindEpochs is for an Epochs to the witnesses of a rack's owner.
	KindEpochs Kind = "Epochs"
	// KindEpochsKnown is for the EpochsKnown in reply.
	KindEpochsKnown Kind = "EpochsKnown"
	// KindJobCall is for an intake.Call to the owner of the cell, and KindJobAnswer
	// for the intake.Answer to it.
	KindJobCall   Kind = "JobCall"
	KindJobAnswer Kind = "JobAnswer"
	// KindQuestion is for a request to the advice service that a member makes on
	// behalf of the owner, and KindAdvice for its result.
	KindQuestion Kind = "Question"
	KindAdvice   Kind = "Advice"
	// KindWorkerCalls is for carrier.Calls to a member that makes them on behalf of the
	// owner, and KindWorkerAnswers for the carrier.Answers to them.
	KindWorkerCalls   Kind = "WorkerCalls"
	KindWorkerAnswers Kind = "WorkerAnswers"
	// KindTenure is for the announcement of the cell's owner to all members.
	KindTenure Kind = "Tenure"
)

// CallVerb names the operation that a caller requests.
type CallVerb string

// The verbs of a call.
const (
	Submit CallVerb = "Submit"
	Status CallVerb = "Status"
	Cancel CallVerb = "Cancel"
)

// Call is a caller's request, forwarded to the owner of its partition.
type Call struct {
	// Number identifies the call within the instance of the member that sent it.
	Number    uint64    `cbor:"1,keyasint"`
	Verb      CallVerb  `cbor:"2,keyasint"`
	Wait      bool      `cbor:"3,keyasint,omitempty"`
	Partition string    `cbor:"4,keyasint"`
	Key       task.Key  `cbor:"5,keyasint"`
	Work      task.Work `cbor:"6,keyasint,omitempty"`
	// Instance is the sender's instance; the answer repeats it.
	Instance string `cbor:"7,keyasint"`
	// TimeLeft is how long the caller waits from the time of sending; 0 means until
	// it disconnects.
	TimeLeft time.Duration `cbor:"8,keyasint,omitempty"`
	// Retried reports whether an owner may have received the call before.
	Retried bool `cbor:"9,keyasint,omitempty"`
}

// Answer is the reply to a call.
type Answer struct {
	Number uint64      `cbor:"1,keyasint"`
	Answer task.Answer `cbor:"2,keyasint"`
	// Instance is the instance in the call.
	Instance string `cbor:"3,keyasint"`
	// NotOwner reports that the receiver of the call does not own its partition and
	// that the call had no effect.
	NotOwner bool `cbor:"4,keyasint,omitempty"`
}

// Command is a command to the owner of a rack.
type Command struct {
	// Partition and Epoch identify the claim under which the sender decides.
	Partition string           `cbor:"1,keyasint"`
	Epoch     uint64           `cbor:"2,keyasint"`
	Command   decision.Command `cbor:"3,keyasint"`
}

// OwnershipChanged reports that the sender has handed over ownership, so
// that receivers read the ownership table at once.
type OwnershipChanged struct{}

// Configuration carries an accepted configuration change.
type Configuration struct {
	// Row is the content of the row as JSON.
	Row []byte `cbor:"1,keyasint"`
}

// Applied reports which version of the configuration is in force at the sender.
type Applied struct {
	Version uint64 `cbor:"1,keyasint"`
}

// Epochs asks whether the receiver knows a later owner of the sender's racks.
type Epochs struct {
	// Number identifies the request at the sender.
	Number uint64 `cbor:"1,keyasint"`
	// Racks maps each rack that the sender owns to its epoch.
	Racks map[string]uint64 `cbor:"2,keyasint"`
}

// EpochsKnown is the reply to Epochs.
type EpochsKnown struct {
	Number uint64 `cbor:"1,keyasint"`
	// Higher maps racks to the epoch known at the receiver, where that is higher.
	Higher map[string]uint64 `cbor:"2,keyasint,omitempty"`
}

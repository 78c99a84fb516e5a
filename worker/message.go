package worker

import (
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// HTTP paths of a worker's agent.
const (
	// AdoptPath accepts an Adopt and returns an Inventory.
	AdoptPath = "/adopt"
	// CommandsPath accepts a Batch and returns Results.
	CommandsPath = "/commands"
	// EventsPath returns the Events after a sequence number, by long poll.
	EventsPath = "/events"
)

// Verb is the operation that a command requests.
type Verb string

// The verbs of a command.
const (
	// Start begins an attempt under a lease.
	Start Verb = "Start"
	// Stop ends an attempt, or prevents one that has not begun from starting.
	Stop Verb = "Stop"
	// Checkpoint saves the state of an attempt and then ends it.
	Checkpoint Verb = "Checkpoint"
	// Throttle limits an attempt to its declared size.
	Throttle Verb = "Throttle"
	// Forget drops the retained outcome of an attempt.
	Forget Verb = "Forget"
)

// Adopt makes the sender the owner of the worker. The agent refuses it if its
// epoch, or its session within the same epoch, is lower than the highest that
// the agent has accepted.
type Adopt struct {
	// Worker is the ID of the worker that is meant; any other one refuses, since it may
	// have taken over the address. It is empty if the sender is of an earlier version.
	Worker string `json:",omitempty"`
	// Owner is the sending member.
	Owner string
	// Epoch is the epoch of the owner's claim on the rack.
	Epoch uint64
	// Session increases with every link that the owner opens within one epoch.
	Session uint64
}

// Inventory is the state of a worker at its adoption.
type Inventory struct {
	Worker string
	// Instance identifies the agent's process; it changes with every restart.
	Instance string
	Capacity task.Size
	Attempts []Attempt
	// Sequence is the sequence number of the latest event.
	Sequence uint64
	// Clock is the time since the agent started, on its own clock.
	Clock time.Duration
}

// Attempt is an attempt that the worker runs, or whose outcome it retains.
type Attempt struct {
	ID   task.AttemptID
	Size task.Size
	// Outcome is empty while the attempt is running.
	Outcome task.Outcome `json:",omitempty"`
	Body    []byte       `json:",omitempty"`
}

// Command requests one operation on an attempt.
type Command struct {
	Verb    Verb
	Attempt task.AttemptID
	// Size, RunTime and Payload are used by Start only. RunTime is the declared
	// run time; the stand-in runs the task for that long.
	Size    task.Size     `json:",omitzero"`
	RunTime time.Duration `json:",omitempty"`
	Payload []byte        `json:",omitempty"`
}

// Batch is a message from the owner. It renews the leases of all attempts on the
// worker, even if it has no commands. Its times are on the agent's own clock, so
// that a batch that arrives late renews nothing.
type Batch struct {
	Owner   string
	Epoch   uint64
	Session uint64
	// Instance is the agent instance addressed; any other one refuses the batch.
	Instance string
	// Number increases by one with every batch of a link. The agent executes
	// each number once and answers a repeat of the latest one with the same
	// results.
	Number uint64
	// Until is the end of the leases: the agent stops the attempts then unless
	// the leases are renewed.
	Until time.Duration
	// StartBy is the deadline after which the agent refuses the batch's starts.
	StartBy  time.Duration
	Commands []Command
}

// Reasons why an agent refuses a command.
const (
	// RefusedLate means that a start was queued for too long, or reached the
	// agent after the batch's StartBy or the end of the lease.
	RefusedLate = "Late"
	// RefusedLeaving means that a start was not sent because the worker is
	// leaving service.
	RefusedLeaving = "Leaving"
	// RefusedVerb means that the agent does not know the verb.
	RefusedVerb = "UnknownVerb"
)

// Result is the result of one command.
type Result struct {
	// Refused is the reason of a refusal, empty if the command was accepted.
	Refused string `json:",omitempty"`
}

// Results is the answer to a batch.
type Results struct {
	// Fenced is set if the batch was refused because the worker has accepted
	// another epoch or session or a later batch: the worker's epoch, at least 1.
	Fenced uint64 `json:",omitempty"`
	// Restarted reports whether the batch was addressed to another instance.
	Restarted bool `json:",omitempty"`
	// Clock is the time since the agent started.
	Clock time.Duration
	// Results has one result per command, in the order of the batch.
	Results []Result
}

// Event reports the end of an attempt or its usage.
type Event struct {
	Sequence uint64
	Attempt  task.AttemptID
	// Outcome is empty in a usage report.
	Outcome task.Outcome `json:",omitempty"`
	Body    []byte       `json:",omitempty"`
	// Used is the latest usage, or the peak usage if the attempt has ended.
	Used task.Size `json:",omitzero"`
}

// Events is a series of consecutive events from one agent instance.
type Events struct {
	Instance string
	Events   []Event
}

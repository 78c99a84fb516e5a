package cell

import (
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

// Start is an order to start a run. It may be sent only once the run is recorded.
type Start struct {
	Worker     workload.Worker
	Task       workload.TaskID
	Run        int
	Spec       string
	Checkpoint string
	Ticket     string
	// TicketUntil is when the ticket expires; 0 is never.
	TicketUntil time.Duration
	// run is the run that the order starts.
	run *run
}

// Claim reports whether a copy of the order may be sent, and must be called before each. None
// may be sent once the run has been withdrawn. Claim may be called concurrently with the
// methods of the cell.
func (s Start) Claim() bool { return s.run == nil || s.run.order.claim() }

// NoteUnanswered notes that a copy of the order had no answer, so that it may still be carried
// out. It may be called concurrently with the methods of the cell.
func (s Start) NoteUnanswered() {
	if s.run != nil {
		s.run.order.noteUnanswered()
	}
}

// Stop is an order to stop a run, or never to start it.
type Stop struct {
	Worker workload.Worker
	Task   workload.TaskID
	Run    int
	// run is the run that the order stops; nil if the cell has no record of it.
	run *run
}

// IsNeeded reports whether the worker may have the run, or may get it. It may be called
// concurrently with the methods of the cell.
func (s Stop) IsNeeded() bool { return s.run == nil || s.run.order.mayBeCarriedOut() }

// Question asks the advice service which workers may run a step.
type Question struct {
	Step    workload.StepID
	Workers []string
	// Lives holds the life of each worker when the question was asked, which the tickets in the
	// answer are for. It is empty if a host of an earlier version has passed the question on.
	Lives []int64 `cbor:",omitempty"`
	// Expected is the time that the advice service needs for the answer once it handles the
	// question.
	Expected time.Duration
	// Valid is the lifetime of the tickets in the answer.
	Valid time.Duration
	// Due is the latest start at which the job of the step still meets its objective.
	// Hopeless is the latest start at which it still earns anything.
	Due, Hopeless time.Duration
	// Booked reports whether capacity is held for the step until the answer arrives.
	Booked bool
	// BeyondShare reports whether the job of the step is beyond the share of its organisation.
	BeyondShare bool `cbor:",omitempty"`
	// Part is the index of the question among those about the same step that were asked at the
	// same time, each about other workers.
	Part int `cbor:",omitempty"`
}

// lifeOf returns the life of a worker that a ticket in the answer is for.
func (q Question) lifeOf(w *worker) int64 {
	if i := slices.Index(q.Workers, w.ID); i >= 0 && i < len(q.Lives) {
		return q.Lives[i]
	}
	return w.Life
}

// Poll asks for an immediate report from a worker.
type Poll struct{ Worker string }

// Actions holds the orders, questions and polls that follow from events.
type Actions struct {
	Starts    []Start
	Stops     []Stop
	Questions []Question
	Polls     []Poll
	Paces     []Pace
}

// LogEntry describes one decision, with its reason, for the log.
type LogEntry struct {
	// Event names the decision. Log readers match it.
	Event  string
	Job    string
	Task   string
	Run    int
	Worker string
	// Reason is the input that decided it.
	Reason string
	// Age is the age of the deciding input, or the duration of the logged operation.
	Age time.Duration
	// Objective is the time within which a new job should finish. Work is its cost in
	// processor-seconds.
	Objective time.Duration
	Work      float64
}

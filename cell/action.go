package cell

import (
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

// Start is an order to start a run, to be sent once the run is recorded.
type Start struct {
	Worker     workload.Worker
	Task       workload.TaskID
	Run        int
	Spec       string
	Checkpoint string
	Ticket     string
	// TicketUntil is when the ticket lapses; 0 is never.
	TicketUntil time.Duration
	// run is what the order is for.
	run *run
}

// Stop is an order to stop a run, or never to start it.
type Stop struct {
	Worker workload.Worker
	Task   workload.TaskID
	Run    int
}

// Question asks which workers may run a step.
type Question struct {
	Step    workload.StepID
	Workers []string
	// Expected is how long the answer takes once the question is handled.
	Expected time.Duration
	// Valid is how long the tickets of the answer hold.
	Valid time.Duration
	// Due is when the step should start at the latest, Hopeless when it is too late for
	// its job to earn anything.
	Due, Hopeless time.Duration
	// Booked tells that room is kept for the step until the answer comes.
	Booked bool
}

// Poll asks for a report of a worker at once.
type Poll struct{ Worker string }

// Actions is what is to be done after an event.
type Actions struct {
	Starts    []Start
	Stops     []Stop
	Questions []Question
	Polls     []Poll
	Paces     []Pace
}

// LogEntry is a line for the log: one decision with what decided it.
type LogEntry struct {
	// Event names the decision.
	Event  string
	Job    string
	Task   string
	Run    int
	Worker string
	// Reason is what decided it.
	Reason string
	// Age is how old the deciding input was, or how long something took.
	Age time.Duration
	// Objective is the time in which a new job should be done, and Work what it takes, in
	// processor-seconds.
	Objective time.Duration
	Work      float64
}

package caller

import (
	"time"

	"github.com/vanillaquay/vanillaquay/quantity"
	"github.com/vanillaquay/vanillaquay/task"
)

// Work is the body of a submission. Amounts include their unit.
type Work struct {
	// ID is the caller's request ID, unique within its team. A repeated request with
	// the same ID receives the answer to the first one.
	ID   string
	Kind task.Kind
	// Urgent gives the work priority over all work that is not urgent.
	Urgent bool `json:",omitempty"`
	// Tasks is the number of tasks or replicas; 0 counts as 1.
	Tasks int `json:",omitempty"`
	// Size is the resources that one task needs.
	Size quantity.Size
	// RunTime is the declared duration of one task; 0 means not declared.
	RunTime quantity.Duration `json:",omitempty"`
	// Deadline is when the caller needs the final answer; zero means no deadline.
	Deadline time.Time `json:",omitzero"`
	// Idempotent reports whether it is safe to run a task twice.
	Idempotent bool `json:",omitempty"`
	// FirstTry reports that the caller has never sent the ID before.
	FirstTry bool `json:",omitempty"`
	// Family groups work of similar size for usage estimates.
	Family string `json:",omitempty"`
	// Payload is passed to each task as is; base64 in JSON.
	Payload []byte `json:",omitempty"`
}

// Task converts a submission to the work of a team whose caller is in a region.
func (w Work) Task(team, region string) task.Work {
	return task.Work{
		Team: team, ID: w.ID, Kind: w.Kind, Urgent: w.Urgent, Tasks: max(w.Tasks, 1),
		Size: w.Size.TaskSize(), RunTime: time.Duration(w.RunTime), Deadline: w.Deadline,
		Idempotent: w.Idempotent, FirstTry: w.FirstTry, Family: w.Family, Payload: w.Payload, Region: region,
	}
}

// Answer is the body of a reply to a caller. Its fields are those of task.Answer.
type Answer struct {
	Team       string `json:",omitempty"`
	ID         string `json:",omitempty"`
	State      task.State
	Code       string            `json:",omitempty"`
	Reason     string            `json:",omitempty"`
	RetryAfter quantity.Duration `json:",omitempty"`
	Waited     quantity.Duration `json:",omitempty"`
	Workers    []string          `json:",omitempty"`
	// Bodies holds the answer of each task in order; base64 in JSON.
	Bodies [][]byte `json:",omitempty"`
}

// encodeAnswer converts an answer to its JSON form.
func encodeAnswer(a task.Answer) Answer {
	return Answer{
		Team: a.Team, ID: a.ID, State: a.State, Code: a.Code, Reason: a.Reason,
		RetryAfter: quantity.Duration(a.RetryAfter), Waited: quantity.Duration(a.Waited),
		Workers: a.Workers, Bodies: a.Bodies,
	}
}

package task

import (
	"fmt"
	"regexp"
	"time"

	"github.com/juju/errors"
)

// Kind determines the policy that places a piece of work.
type Kind string

// The kinds of work.
const (
	// Request is a short call that a caller waits for.
	Request Kind = "Request"
	// Service is a set of replicas that stay up until cancelled.
	Service Kind = "Service"
	// Batch is a run that may be delayed.
	Batch Kind = "Batch"
	// AllAtOnce is a job whose tasks start together or not at all.
	AllAtOnce Kind = "AllAtOnce"
)

// Kinds lists every kind, most urgent first.
func Kinds() []Kind { return []Kind{Request, Service, AllAtOnce, Batch} }

// Limits on the fields of Work.
const (
	// MaxTasks is the largest number of tasks of one piece of work.
	MaxTasks = 10_000
	// MaxPayloadBytes is the largest payload in bytes.
	MaxPayloadBytes = 1 << 20
	// MaxNameLength is the longest team, request ID or family in bytes.
	MaxNameLength = 128
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]*$`)

// Key identifies a piece of work: a request ID is unique within its team.
type Key struct {
	_    struct{} `cbor:",toarray"`
	Team string
	ID   string
}

// String returns the key as "team/id".
func (k Key) String() string { return k.Team + "/" + k.ID }

// Work is what a caller submits. It is immutable.
type Work struct {
	// Team owns the work; its quota is charged.
	Team string `json:"Team" cbor:"1,keyasint"`
	// ID is the caller's request ID, unique within Team. A repeat with the same ID
	// receives the answer to the first.
	ID string `json:"ID" cbor:"2,keyasint"`
	// Kind selects the policy.
	Kind Kind `json:"Kind" cbor:"3,keyasint"`
	// Urgent places the work ahead of all work that is not urgent.
	Urgent bool `json:"Urgent,omitempty" cbor:"4,keyasint,omitempty"`
	// Tasks is at least 1; for a service it is the number of replicas.
	Tasks int `json:"Tasks" cbor:"5,keyasint"`
	// Size is the declared resource use of one task.
	Size Size `json:"Size" cbor:"6,keyasint"`
	// RunTime is the declared duration of one task; 0 means not declared.
	RunTime time.Duration `json:"RunTime,omitempty" cbor:"7,keyasint,omitempty"`
	// Deadline is when the caller needs the final answer; zero means none.
	Deadline time.Time `json:"Deadline,omitzero" cbor:"8,keyasint,omitempty"`
	// Idempotent reports whether a task may safely run twice.
	Idempotent bool `json:"Idempotent,omitempty" cbor:"9,keyasint,omitempty"`
	// Family groups work of similar size for usage estimates; empty means the team's own.
	Family string `json:"Family,omitempty" cbor:"10,keyasint,omitempty"`
	// Payload is passed to each task uninterpreted.
	Payload []byte `json:"Payload,omitempty" cbor:"11,keyasint,omitempty"`
	// FirstTry reports whether the caller has never sent the ID before. Only then can an
	// entry host that does not hold the work answer NotRun; before a repeat, an earlier
	// try may have run.
	FirstTry bool `json:"FirstTry,omitempty" cbor:"13,keyasint,omitempty"`
	// Region is the caller's region, which placement prefers.
	Region string `json:"Region,omitempty" cbor:"12,keyasint,omitempty"`
}

// Key returns the key of the work.
func (w Work) Key() Key { return Key{Team: w.Team, ID: w.ID} }

// WithTeam returns a copy owned by team.
func (w Work) WithTeam(team string) Work {
	w.Team = team
	return w
}

// WithRegion returns a copy whose caller is in region.
func (w Work) WithRegion(region string) Work {
	w.Region = region
	return w
}

// NeedsDurableRecord reports whether the work must be durably recorded before it starts.
// Only an idempotent request need not be.
func (w Work) NeedsDurableRecord() bool { return w.Kind != Request || !w.Idempotent }

// TaskSize returns the declared size of one task plus the slot or connection that its kind
// uses.
func (w Work) TaskSize() Size {
	s := w.Size
	s.Slots, s.Connections = 1, 0
	if w.Kind == Request {
		s.Slots, s.Connections = 0, 1
	}
	return s
}

// Validate returns an error that names the first invalid field, or nil.
func (w Work) Validate() error {
	switch w.Kind {
	case Request, Service, Batch, AllAtOnce:
	default:
		return errors.NotValidf("Kind %q (want Request, Service, Batch or AllAtOnce)", w.Kind)
	}
	if err := checkName("Team", w.Team); err != nil {
		return err
	}
	if err := checkName("ID", w.ID); err != nil {
		return err
	}
	if w.Family != "" {
		if err := checkName("Family", w.Family); err != nil {
			return err
		}
	}
	return w.checkAmounts()
}

func (w Work) checkAmounts() error {
	if w.Tasks < 1 || w.Tasks > MaxTasks {
		return errors.NotValidf("Tasks %d (want 1 to %d)", w.Tasks, MaxTasks)
	}
	if w.Kind == Request && w.Tasks != 1 {
		return errors.NotValidf("Tasks %d of a Request (want 1)", w.Tasks)
	}
	if w.Size.HasNegative() {
		return errors.NotValidf("Size with a negative field")
	}
	if w.Size.Processors == 0 && w.Size.Memory == 0 && w.Size.Accelerators == 0 {
		return errors.NotValidf("Size without processors, memory or accelerators")
	}
	if w.RunTime < 0 {
		return errors.NotValidf("RunTime %v (want 0 or more)", w.RunTime)
	}
	if len(w.Payload) > MaxPayloadBytes {
		return errors.NotValidf("Payload of %d bytes (want at most %d)", len(w.Payload), MaxPayloadBytes)
	}
	return nil
}

func checkName(field, name string) error {
	if len(name) > MaxNameLength || !namePattern.MatchString(name) {
		return errors.NotValidf("%s %q (want a letter or digit, then letters, digits or . _ : -, at most %d bytes)",
			field, name, MaxNameLength)
	}
	return nil
}

// AttemptID identifies one attempt to run one task of a piece of work. Attempts of a task
// are numbered from 1; the next one begins only after the previous one is known to have
// ended or never to start.
type AttemptID struct {
	_      struct{} `cbor:",toarray"`
	Work   Key
	Task   int
	Number int
}

// String returns the attempt as "team/id/task/number".
func (a AttemptID) String() string {
	return fmt.Sprintf("%s/%d/%d", a.Work, a.Task, a.Number)
}

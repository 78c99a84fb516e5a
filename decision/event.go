package decision

import (
	"github.com/vanillaquay/vanillaquay/chart"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/task"
)

// Event is an input of the core. The types of this file, SummaryReceived and
// MemberExpired implement it.
type Event interface{ isEvent() }

// Submitted reports that a caller submitted work.
type Submitted struct {
	// Caller is the driver's number for the caller; the Reply repeats it.
	Caller uint64
	// Wait reports whether the caller wants only the final answer.
	Wait bool
	// Partition is the partition of the work. It is empty if the driver can't
	// reach the owner of the partition; then only requests that need no record
	// are accepted.
	Partition string
	Work      task.Work
	// Repeated reports whether this is not the first copy of the caller's try,
	// so that an owner may already have accepted one. Work.FirstTry keeps the
	// caller's value.
	Repeated bool
}

// Queried reports that a caller asks for the state of work.
type Queried struct {
	Caller uint64
	// Wait reports whether the caller wants only the final answer.
	Wait bool
	Key  task.Key
}

// Cancelled reports that a caller cancels work.
type Cancelled struct {
	Caller uint64
	Key    task.Key
}

// DigestChanged carries a rack's digest: the state and free capacity of its
// workers.
type DigestChanged struct{ Digest rack.Digest }

// RackRemoved reports that a rack was removed from the cell.
type RackRemoved struct{ Rack string }

// RackUnreachable reports that a rack's owner can't be reached. Nothing is
// placed there until its next digest.
type RackUnreachable struct {
	Rack string
	// UnsentAttempt is the attempt whose start could not be sent to the rack;
	// the driver reports it as Refused. The zero value is none.
	UnsentAttempt task.AttemptID
}

// RacksListed lists the racks of the cell, whether reachable or not. Without it
// the core knows only the racks whose digests it has received.
type RacksListed struct{ Racks []string }

// Recorded reports that the entry of a Record is durable.
type Recorded struct{ Token uint64 }

// RecordFailed reports that the entry of a Record could not be made durable.
type RecordFailed struct {
	Token uint64
	// InDoubt reports whether the entry may still turn out to be durable.
	// Exactly one more event with this token follows once the journal knows:
	// Recorded, or RecordFailed without InDoubt. Until then no later entry of
	// the partition gets a final result.
	InDoubt bool
}

// Status is a rack owner's report on an attempt. Its values are events of the
// chart Attempt.
type Status = chart.Event

// The statuses of a Report.
const (
	// Placed reports that the worker has started the attempt.
	Placed Status = "Placed"
	// Held reports that capacity is reserved for the attempt.
	Held Status = "Held"
	// Refused reports that the attempt has not started and never will.
	Refused Status = "Refused"
	// Ended reports that the attempt started and no longer runs.
	Ended Status = "Ended"
)

// Report is a rack owner's report on the state of an attempt.
type Report struct {
	Status  Status         `cbor:"1,keyasint"`
	Attempt task.AttemptID `cbor:"2,keyasint"`
	Rack    string         `cbor:"3,keyasint"`
	Worker  string         `cbor:"4,keyasint,omitempty"`
	// Epoch and Sequence are those of the first digest of the rack that
	// includes the change.
	Epoch    uint64 `cbor:"5,keyasint,omitempty"`
	Sequence uint64 `cbor:"6,keyasint,omitempty"`
	// Reason is set if Status is Refused.
	Reason string `cbor:"7,keyasint,omitempty"`
	// Outcome, Body and Used are set if Status is Ended.
	Outcome task.Outcome `cbor:"8,keyasint,omitempty"`
	Body    []byte       `cbor:"9,keyasint,omitempty"`
	Used    task.Size    `cbor:"10,keyasint,omitempty"`
}

// Usage reports what a running attempt uses. It may lag behind.
type Usage struct {
	Attempt task.AttemptID `cbor:"1,keyasint"`
	Rack    string         `cbor:"2,keyasint"`
	Worker  string         `cbor:"3,keyasint,omitempty"`
	Used    task.Size      `cbor:"4,keyasint"`
}

// Team holds the operators' settings for one team.
type Team struct {
	Name string
	// Quota bounds what the team's running tasks use in all its partitions
	// together; a zero field is no limit.
	Quota task.Size
	// Partitions are the partitions of the team's work, which have equal parts
	// of the quota; empty stands for a single one. All drivers must be given
	// the same list in the same order.
	Partitions []string
	// Weight scales the team's fair share; 0 counts as 1.
	Weight int
}

// TeamsChanged replaces the operators' settings for all teams.
type TeamsChanged struct{ Teams []Team }

// PartitionRecovered reports that the driver now owns a partition, with the
// entries of its journal in order.
type PartitionRecovered struct {
	Partition string
	Entries   []record.Entry
}

// PartitionLost reports that the driver no longer owns a partition. Results for
// the tokens of its entries are ignored from then on.
type PartitionLost struct{ Partition string }

// LeaseChanged reports whether the driver may start work that needs a durable
// record.
type LeaseChanged struct{ Valid bool }

// Tick reports that time has passed.
type Tick struct{}

func (Submitted) isEvent()          {}
func (Queried) isEvent()            {}
func (Cancelled) isEvent()          {}
func (DigestChanged) isEvent()      {}
func (RackRemoved) isEvent()        {}
func (RackUnreachable) isEvent()    {}
func (RacksListed) isEvent()        {}
func (Recorded) isEvent()           {}
func (RecordFailed) isEvent()       {}
func (Report) isEvent()             {}
func (Usage) isEvent()              {}
func (TeamsChanged) isEvent()       {}
func (PartitionRecovered) isEvent() {}
func (PartitionLost) isEvent()      {}
func (LeaseChanged) isEvent()       {}
func (Tick) isEvent()               {}

package decision

import (
	"github.com/vanillaquay/vanillaquay/chart"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/task"
)

// Event is something that happened. The types of this file implement it.
type Event interface{ isEvent() }

// Submitted tells that a caller sent a piece of work.
type Submitted struct {
	// Caller is the number that the Reply bears.
	Caller uint64
	// Wait tells that the caller wants nothing but the final answer.
	Wait bool
	// Partition holds the work. Empty is for a driver that can't reach the
	// owner of the partition: it takes only requests that need no record.
	Partition string
	Work      task.Work
	// Repeated tells that this is not the first copy of the same try of the caller:
	// an owner may have taken one before. Work.FirstTry stays that of the caller.
	Repeated bool
}

// Queried tells that a caller wants to know what became of a piece of work.
type Queried struct {
	Caller uint64
	// Wait tells that the caller wants nothing but the final answer.
	Wait bool
	Key  task.Key
}

// Cancelled tells that a caller ends a piece of work.
type Cancelled struct {
	Caller uint64
	Key    task.Key
}

// DigestChanged tells what a rack has free.
type DigestChanged struct{ Digest rack.Digest }

// RackRemoved tells that a rack has left the cell.
type RackRemoved struct{ Rack string }

// RackUnreachable tells that no digest of a rack can come now, and that nothing is
// to be placed there until one does.
type RackUnreachable struct {
	Rack string
	// UnsentAttempt is the attempt whose start could not be sent there; it is reported
	// as refused. The zero value is none.
	UnsentAttempt task.AttemptID
}

// RacksListed tells which racks the cell has, whether they can be reached or not.
// A driver that never tells it has none but those of which it tells digests.
type RacksListed struct{ Racks []string }

// Recorded tells that the entry with the token is durable.
type Recorded struct{ Token uint64 }

// RecordFailed tells that the entry with the token is not durable.
type RecordFailed struct {
	Token uint64
	// InDoubt tells that the entry may still prove to be durable. Exactly one
	// more event of the same token follows once the journal knows: Recorded,
	// or RecordFailed that is not InDoubt. Until then later entries of the
	// partition are neither recorded nor failed for good.
	InDoubt bool
}

// Status names what a rack's owner reports about an attempt. Its values are
// events of the chart Attempt.
type Status = chart.Event

// The statuses of a report.
const (
	// Placed tells that the worker has started the attempt.
	Placed Status = "Placed"
	// Held tells that there is room for the attempt, kept for it.
	Held Status = "Held"
	// Refused tells that the attempt has not started and never will.
	Refused Status = "Refused"
	// Ended tells that the attempt started and no longer runs.
	Ended Status = "Ended"
)

// Report tells what became of an attempt.
type Report struct {
	Status  Status         `cbor:"1,keyasint"`
	Attempt task.AttemptID `cbor:"2,keyasint"`
	Rack    string         `cbor:"3,keyasint"`
	Worker  string         `cbor:"4,keyasint,omitempty"`
	// Epoch and Sequence are those of the rack's digest that first includes
	// the change.
	Epoch    uint64 `cbor:"5,keyasint,omitempty"`
	Sequence uint64 `cbor:"6,keyasint,omitempty"`
	// Reason matters to Refused.
	Reason string `cbor:"7,keyasint,omitempty"`
	// Outcome, Body and Used matter to Ended.
	Outcome task.Outcome `cbor:"8,keyasint,omitempty"`
	Body    []byte       `cbor:"9,keyasint,omitempty"`
	Used    task.Size    `cbor:"10,keyasint,omitempty"`
}

// Usage tells what a running attempt was last seen to use. It lags behind.
type Usage struct {
	Attempt task.AttemptID `cbor:"1,keyasint"`
	Rack    string         `cbor:"2,keyasint"`
	Worker  string         `cbor:"3,keyasint,omitempty"`
	Used    task.Size      `cbor:"4,keyasint"`
}

// Team is what operators set for one team.
type Team struct {
	Name string
	// Quota is the most that the team's running tasks may take in all its
	// partitions; a zero field is no limit.
	Quota task.Size
	// Partitions hold the team's work and have equal parts of the quota; empty is
	// one. Each driver is told the same, in the same order.
	Partitions []string
	// Weight scales the fair share; 0 counts as 1.
	Weight int
}

// TeamsChanged replaces what operators set for teams.
type TeamsChanged struct{ Teams []Team }

// PartitionRecovered tells that the driver now owns a partition and what its journal
// holds, in order.
type PartitionRecovered struct {
	Partition string
	Entries   []record.Entry
}

// PartitionLost tells that the driver no longer owns a partition. Tokens of its
// entries mean nothing from then on.
type PartitionLost struct{ Partition string }

// LeaseChanged tells whether the driver may start what needs a durable record.
type LeaseChanged struct{ Valid bool }

// Tick tells that time has passed.
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

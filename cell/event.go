package cell

import (
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// ErrFenced tells that a worker obeys a later owner of the cell.
	ErrFenced = errors.ConstError("worker obeys a later owner")
	// ErrOtherLife tells that another worker listens at the address.
	ErrOtherLife = errors.ConstError("another worker listens at the address")
)

// Answer is what became of an order to a worker.
type Answer string

// The answers. Only NoAnswer leaves it open whether the order is carried out.
const (
	Accepted   Answer = "Accepted"
	NoRoom     Answer = "NoRoom"
	BadTicket  Answer = "BadTicket"
	Superseded Answer = "Superseded"
	TooLate    Answer = "TooLate"
	Fenced     Answer = "Fenced"
	OtherLife  Answer = "OtherLife"
	Unwell     Answer = "Unwell"
	Invalid    Answer = "Invalid"
	Unreached  Answer = "Unreached"
	NoAnswer   Answer = "NoAnswer"
	// Unsent is an order that was withdrawn before it was sent.
	Unsent Answer = "Unsent"
)

// Outcome is how a run ended.
type Outcome string

// The endings.
const (
	EndedDone    Outcome = "Done"
	EndedFailed  Outcome = "Failed"
	EndedStopped Outcome = "Stopped"
	EndedLapsed  Outcome = "Lapsed"
	EndedBroken  Outcome = "Broken"
	EndedAlone   Outcome = "Alone"
)

// ActiveRun is one run that a worker has.
type ActiveRun struct {
	Task       workload.TaskID
	Run        int
	Checkpoint string
	// Percent is how far the run is; a daemon at work has 100.
	Percent float64
	// Measure is the tail latency of a daemon in milliseconds, or the processors
	// that any other task uses.
	Measure float64
}

// EndedRun is one run that a worker had.
type EndedRun struct {
	// Number rises with each end in one life of the worker.
	Number     int64
	Task       workload.TaskID
	Run        int
	Outcome    Outcome
	Checkpoint string
}

// Report is what a worker says of its runs.
type Report struct {
	Life    int64
	Running []ActiveRun
	Ended   []EndedRun
	// Complete tells that no end was left out for length.
	Complete bool
}

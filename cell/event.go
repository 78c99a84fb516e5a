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

// Ending is how a run ended.
type Ending string

// The endings.
const (
	EndedDone    Ending = "Done"
	EndedFailed  Ending = "Failed"
	EndedStopped Ending = "Stopped"
	EndedLapsed  Ending = "Lapsed"
	EndedBroken  Ending = "Broken"
	EndedAlone   Ending = "Alone"
)

// Running is one run that a worker has.
type Running struct {
	Task       workload.TaskID
	Run        int
	Checkpoint string
	// Percent is how far the run is; a daemon at work has 100.
	Percent float64
	// Measure is the tail latency of a daemon in milliseconds, or the processors
	// that any other task uses.
	Measure float64
}

// Ended is one run that a worker had.
type Ended struct {
	// Number rises with each end in one life of the worker.
	Number     int64
	Task       workload.TaskID
	Run        int
	How        Ending
	Checkpoint string
}

// Report is what a worker says of its runs.
type Report struct {
	Life    int64
	Running []Running
	Ended   []Ended
	// Complete tells that no end was left out for length.
	Complete bool
}

package cell

import (
	"fmt"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// ErrFenced means that the worker has accepted a later owner of the cell.
	ErrFenced = errors.ConstError("worker obeys a later owner")
	// ErrOtherLife means that another worker, or another life of the worker, listens at the
	// address.
	ErrOtherLife = errors.ConstError("another worker listens at the address")
)

// OtherLifeError is the ErrOtherLife of a worker that has started again under its ID.
type OtherLifeError struct {
	// Life is the life that was found.
	Life int64
}

func (e OtherLifeError) Error() string { return fmt.Sprintf("the worker has life %d", e.Life) }

// Is reports whether target is ErrOtherLife.
func (e OtherLifeError) Is(target error) bool { return target == ErrOtherLife }

// Answer is the result of an order to a worker.
type Answer string

// The answers. Only after NoAnswer may the order still be carried out.
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
	// Unsent means that the order was withdrawn before it was sent.
	Unsent Answer = "Unsent"
)

// Outcome is how a run ended.
type Outcome string

// The outcomes.
const (
	EndedDone    Outcome = "Done"
	EndedFailed  Outcome = "Failed"
	EndedStopped Outcome = "Stopped"
	EndedLapsed  Outcome = "Lapsed"
	EndedBroken  Outcome = "Broken"
	EndedAlone   Outcome = "Alone"
)

// ActiveRun is a run that a worker reports as running.
type ActiveRun struct {
	Task       workload.TaskID
	Run        int
	Checkpoint string
	// Percent is the progress; a daemon that serves reports 100.
	Percent float64
	// Measure is the tail latency of a daemon in milliseconds, or the number of processors in
	// use by any other task.
	Measure float64
}

// EndedRun is a run that a worker reports as ended.
type EndedRun struct {
	// Number increases with each ended run within one incarnation of the worker.
	Number int64
	// Task is zero for a run that has no name of a task.
	Task       workload.TaskID
	Run        int
	Outcome    Outcome
	Checkpoint string
}

// Report is a worker's list of its runs.
type Report struct {
	Life    int64
	Running []ActiveRun
	Ended   []EndedRun
	// Complete reports whether Ended holds all ended runs, none omitted to limit its length.
	Complete bool
}

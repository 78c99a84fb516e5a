package carrier

import (
	"time"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/workload"
)

// Calls is a batch of calls of the owner with a fencing token.
type Calls struct {
	Fence int64  `cbor:"1,keyasint"`
	Calls []Call `cbor:"2,keyasint"`
}

// Verb is what a worker is to do.
type Verb uint8

// The verbs.
const (
	Hold Verb = iota + 1
	Start
	Stop
	Pace
)

// Call is one call to a worker. Fields that its verb does not use are zero.
type Call struct {
	_ struct{} `cbor:",toarray"`
	// Number identifies the call at the owner.
	Number          uint64
	Verb            Verb
	Address, Worker string
	// Task and Run name what a start, a stop or a pace is for.
	Task workload.TaskID
	Run  int
	// Until ends the lease, on the worker's clock in milliseconds; 0 grants none.
	Until int64
	// Seen is the last end that the worker may forget, Wait how long a hold waits for
	// another.
	Seen int64
	Wait time.Duration
	// Spec, Checkpoint and Ticket are those of a start, Percent that of a pace.
	Spec, Checkpoint, Ticket string
	Percent                  int
}

// Answers is a batch of answers to calls under a fencing token: a process that owned the
// cell before on the same host numbered its calls as well.
type Answers struct {
	Answers []Answer `cbor:"1,keyasint"`
	Fence   int64    `cbor:"2,keyasint"`
}

// Answer is what became of one call.
type Answer struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	// Order is the answer to a start, a stop or a pace, and why a hold failed.
	Order cell.Answer
	// Why tells more of a hold that failed.
	Why string
	// Lists is the answer to a hold; nil if it failed.
	Lists *Lists
}

// Lists is platform.Lists, in a form that is short.
type Lists struct {
	_           struct{} `cbor:",toarray"`
	Clock, Life int64
	Complete    bool
	Running     []running
	Ended       []ended
}

type running struct {
	_                       struct{} `cbor:",toarray"`
	Job                     string
	Occurrence, Step, Index int
	Run                     int
	Checkpoint              string
	Percent, Measure        float64
}

type ended struct {
	_                       struct{} `cbor:",toarray"`
	Number                  int64
	Job                     string
	Occurrence, Step, Index int
	Run                     int
	How                     cell.Outcome
	Checkpoint              string
}

func encodeLists(l platform.Lists) *Lists {
	e := &Lists{Clock: l.Clock, Life: l.Report.Life, Complete: l.Report.Complete}
	for _, r := range l.Report.Running {
		e.Running = append(e.Running, running{
			Job: r.Task.Job, Occurrence: r.Task.Occurrence, Step: r.Task.Step, Index: r.Task.Index,
			Run: r.Run, Checkpoint: r.Checkpoint, Percent: r.Percent, Measure: r.Measure,
		})
	}
	for _, r := range l.Report.Ended {
		e.Ended = append(e.Ended, ended{
			Number: r.Number, Job: r.Task.Job, Occurrence: r.Task.Occurrence, Step: r.Task.Step, Index: r.Task.Index,
			Run: r.Run, How: r.Outcome, Checkpoint: r.Checkpoint,
		})
	}
	return e
}

func (l *Lists) decode() platform.Lists {
	d := platform.Lists{Clock: l.Clock, Report: cell.Report{Life: l.Life, Complete: l.Complete}}
	for _, r := range l.Running {
		d.Report.Running = append(d.Report.Running, cell.ActiveRun{
			Task: taskID(r.Job, r.Occurrence, r.Step, r.Index), Run: r.Run, Checkpoint: r.Checkpoint, Percent: r.Percent, Measure: r.Measure,
		})
	}
	for _, r := range l.Ended {
		d.Report.Ended = append(d.Report.Ended, cell.EndedRun{
			Number: r.Number, Task: taskID(r.Job, r.Occurrence, r.Step, r.Index), Run: r.Run, Outcome: r.How, Checkpoint: r.Checkpoint,
		})
	}
	return d
}

func taskID(job string, occurrence, step, index int) workload.TaskID {
	return workload.TaskID{StepID: workload.StepID{Job: job, Occurrence: occurrence, Step: step}, Index: index}
}

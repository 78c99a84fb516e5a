package carrier

import (
	"time"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/workload"
)

// Calls is a batch of calls from the owner with the given fencing token.
type Calls struct {
	Fence int64  `cbor:"1,keyasint"`
	Calls []Call `cbor:"2,keyasint"`
	// Lives holds the life of the worker that each call is for. Hosts of earlier versions do not
	// send it, and ignore it.
	Lives []int64 `cbor:"3,keyasint,omitempty"`
}

// add adds a call to the batch.
func (c *Calls) add(call Call, life int64) {
	c.Calls, c.Lives = append(c.Calls, call), append(c.Lives, life)
}

// instance returns the life of a worker that call number i of the batch is for.
func (c Calls) instance(i int) platform.Instance {
	call := c.Calls[i]
	target := platform.Instance{Address: call.Address, Worker: call.Worker}
	if i < len(c.Lives) {
		target.Life = c.Lives[i]
	}
	return target
}

// Verb is the kind of a call.
type Verb uint8

// The verbs of calls.
const (
	Hold Verb = iota + 1
	Start
	Stop
	Pace
)

// Call is one call to a worker. Fields that its verb does not use are zero.
type Call struct {
	_ struct{} `cbor:",toarray"`
	// Number identifies the call at its owner.
	Number          uint64
	Verb            Verb
	Address, Worker string
	// Task and Run identify the run that a start, stop or pace is for.
	Task workload.TaskID
	Run  int
	// Until is the end of the lease in milliseconds on the worker's clock; 0 grants no
	// lease.
	Until int64
	// Seen is the number of the last run end that the worker may discard. Wait is how
	// long a hold waits for another end.
	Seen int64
	Wait time.Duration
	// Spec, Checkpoint and Ticket are used by a start, Percent by a pace.
	Spec, Checkpoint, Ticket string
	Percent                  int
}

// Answers is a batch of answers to calls with the given fencing token. The token is
// needed because an earlier process that owned the cell on the same host used the same
// call numbers.
type Answers struct {
	Answers []Answer `cbor:"1,keyasint"`
	Fence   int64    `cbor:"2,keyasint"`
}

// Answer is the result of one call.
type Answer struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	// Order is the answer to a start, stop or pace, or the reason why a hold failed.
	Order cell.Answer
	// Why describes the failure of a hold, or why the carrier did not make the call.
	Why string
	// Lists is the answer to a hold; nil if it failed. If the worker has another life, only
	// that is set.
	Lists *Lists
}

// Lists is platform.HoldResponse in a compact encoding.
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

func encodeLists(l platform.HoldResponse) *Lists {
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

func (l *Lists) decode() platform.HoldResponse {
	d := platform.HoldResponse{Clock: l.Clock, Report: cell.Report{Life: l.Life, Complete: l.Complete}}
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

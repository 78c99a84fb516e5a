package task

import "time"

// State is the status of a caller's work.
type State string

// The states that an answer can carry.
const (
	// Accepted means that the work is durably recorded and will run.
	Accepted State = "Accepted"
	// Running means that every task has started at least once.
	Running State = "Running"
	// Ran means that the work ran to completion; the answer is complete.
	Ran State = "Ran"
	// Failed means that the work ran and ended with an error.
	Failed State = "Failed"
	// Cancelled means that the caller cancelled the work.
	Cancelled State = "Cancelled"
	// NotRun means that no task started and none ever will.
	NotRun State = "NotRun"
	// Unknown means that a task may or may not have run.
	Unknown State = "Unknown"
)

// Final reports whether the state can't change any more.
func (s State) Final() bool { return s != Accepted && s != Running }

// Outcome is the result of an attempt.
type Outcome string

// The outcomes of an attempt.
const (
	// Succeeded is an attempt that ran to completion.
	Succeeded Outcome = "Succeeded"
	// Broke is an attempt that ended with an error of its own.
	Broke Outcome = "Broke"
	// Stopped is an attempt that was stopped by the scheduler or by the end of its lease.
	Stopped Outcome = "Stopped"
	// Absent is an attempt that never started and never will.
	Absent Outcome = "Absent"
	// Lost is an attempt whose worker was lost or restarted: it no longer runs, and how
	// far it got is not known.
	Lost Outcome = "Lost"
)

// Answer is the reply to a caller. It is immutable.
type Answer struct {
	// Team and ID repeat the work's key, so that an answer can be matched regardless of
	// the order of arrival.
	Team string `json:"Team" cbor:"1,keyasint"`
	ID   string `json:"ID" cbor:"2,keyasint"`
	// State says whether the work ran, did not run, or may have run.
	State State `json:"State" cbor:"3,keyasint"`
	// Reason is a full sentence for any state but Ran; empty for Ran.
	Reason string `json:"Reason,omitempty" cbor:"4,keyasint,omitempty"`
	// Code is the reason in machine-readable form, in Pascal case.
	Code string `json:"Code,omitempty" cbor:"5,keyasint,omitempty"`
	// RetryAfter is the delay before a retry; 0 if a retry is of no use.
	RetryAfter time.Duration `json:"RetryAfter,omitempty" cbor:"6,keyasint,omitempty"`
	// Workers names the worker of each task, as far as known.
	Workers []string `json:"Workers,omitempty" cbor:"7,keyasint,omitempty"`
	// Bodies holds the result of each task, in the order of the tasks.
	Bodies [][]byte `json:"Bodies,omitempty" cbor:"8,keyasint,omitempty"`
	// Waited is the time from submission to the start of the last task.
	Waited time.Duration `json:"Waited,omitempty" cbor:"9,keyasint,omitempty"`
}

// Key returns the key of the work that the answer is for.
func (a Answer) Key() Key { return Key{Team: a.Team, ID: a.ID} }

// Refusal returns a NotRun answer with its reason and the delay before a retry.
func Refusal(k Key, code, reason string, retryAfter time.Duration) Answer {
	return Answer{Team: k.Team, ID: k.ID, State: NotRun, Code: code, Reason: reason, RetryAfter: retryAfter}
}

// UndeliveredAnswer returns the answer to a call that did not reach the owner of the work:
// NotRun if this is certainly the first submission, or else Unknown.
func UndeliveredAnswer(k Key, firstTry bool, code, reason string, retryAfter time.Duration) Answer {
	a := Refusal(k, code, reason, retryAfter)
	if !firstTry {
		a.State = Unknown
	}
	return a
}

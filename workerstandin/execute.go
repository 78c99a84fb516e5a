package workerstandin

import (
	"time"

	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/worker"
)

// execute executes a batch, or returns the same results for a repeat of the latest
// one. The caller holds a.mu.
func (a *Agent) execute(b worker.Batch) worker.Results {
	if b.Number != a.number {
		a.number = b.Number
		a.lastResults = make([]worker.Result, len(b.Commands))
		for i, c := range b.Commands {
			a.lastResults[i].Refused = a.executeCommand(c, b.StartBy)
		}
	}
	return worker.Results{Clock: a.clock(), Results: a.lastResults}
}

func (a *Agent) executeCommand(c worker.Command, startBy time.Duration) string {
	t, known := a.attempts[c.Attempt]
	switch c.Verb {
	case worker.Start:
		if known {
			return ""
		}
		return a.start(c, startBy)
	case worker.Stop:
		a.stop(c.Attempt, t, known)
	case worker.Checkpoint:
		if known && t.outcome == "" {
			t.advance(time.Now())
			a.checkpoints.save(c.Attempt, t.ranFor)
		}
		a.stop(c.Attempt, t, known)
	case worker.Throttle:
		if known && t.outcome == "" {
			a.throttle(c.Attempt, t)
		}
	case worker.Forget:
		if known && t.outcome != "" {
			delete(a.attempts, c.Attempt)
		}
	default:
		return worker.RefusedVerb
	}
	return ""
}

// stop ends an attempt. An unknown attempt is recorded as absent, so that it cannot
// start later.
func (a *Agent) stop(id task.AttemptID, t *attempt, known bool) {
	if !known {
		a.attempts[id] = &attempt{outcome: task.Absent}
		a.emit(worker.Event{Attempt: id, Outcome: task.Absent})
		return
	}
	if t.outcome == "" {
		a.end(id, t, task.Stopped, nil)
	}
}

func (a *Agent) start(c worker.Command, startBy time.Duration) string {
	if a.clock() > startBy || a.clock() > a.leaseEnd {
		return worker.RefusedLate
	}
	a.used = a.used.Plus(c.Size)
	over := !a.used.Fits(a.capacity)
	now := time.Now()
	a.audit.Overcommitted = a.audit.Overcommitted || over
	a.audit.Starts[c.Attempt.String()]++
	a.audit.LastStart = now
	a.record(Run{Attempt: c.Attempt.String(), At: now, Overcommitted: over})
	length, used, ends := actualRun(c)
	t := &attempt{size: c.Size, used: used, payload: c.Payload, since: now, plannedOutcome: ends}
	a.attempts[c.Attempt] = t
	if a.faults.FailEverything {
		a.end(c.Attempt, t, task.Broke, nil)
		return ""
	}
	t.ranFor = a.checkpoints.load(c.Attempt)
	if length > 0 {
		t.remaining = max(length-t.ranFor, time.Nanosecond)
		t.timer = time.AfterFunc(t.remainingTime(), func() { a.complete(c.Attempt, t) })
	}
	return ""
}

// throttle limits an attempt to its declared processors.
func (a *Agent) throttle(id task.AttemptID, t *attempt) {
	t.advance(time.Now())
	t.throttled = true
	if t.timer != nil {
		t.timer.Stop()
		t.timer = time.AfterFunc(t.remainingTime(), func() { a.complete(id, t) })
	}
}

func (a *Agent) complete(id task.AttemptID, t *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.outcome != "" || a.closed {
		return
	}
	// If the process was paused past the end of the lease, the task did not complete.
	if a.clock() > a.leaseEnd {
		a.end(id, t, task.Stopped, nil)
		return
	}
	a.checkpoints.drop(id)
	a.end(id, t, t.plannedOutcome, a.bodyOf(id, t.payload))
}

// end records the end of a running attempt and emits its event. The caller holds
// a.mu.
func (a *Agent) end(id task.AttemptID, t *attempt, outcome task.Outcome, body []byte) {
	t.outcome, t.body = outcome, body
	at := a.startedAt.Add(min(a.clock(), a.leaseEnd))
	a.record(Run{Attempt: id.String(), At: at, Outcome: outcome})
	a.used = a.used.Minus(t.size)
	if t.timer != nil {
		t.timer.Stop()
	}
	event := worker.Event{Attempt: id, Outcome: outcome, Body: body, Used: t.currentUsage()}
	if a.faults.ReportLag == 0 {
		a.emit(event)
		return
	}
	time.AfterFunc(a.faults.ReportLag, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.emit(event)
	})
}

package decision_test

import (
	"slices"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/task"
)

// fakeRack is the owner of one rack with its workers. It never starts an
// attempt twice, nor after it refused the attempt.
type fakeRack struct {
	name     string
	rack     *rack.Rack
	attempts map[task.AttemptID]*fakeAttempt
	// refused holds attempts that must not start any more.
	refused      map[task.AttemptID]bool
	sentSequence uint64
}

// fakeAttempt is the state of an attempt in its rack.
type fakeAttempt struct {
	status  decision.Status
	worker  string
	size    task.Size
	kind    task.Kind
	outcome task.Outcome
}

func newFakeRack(name, zone string, workers int, capacity task.Size) *fakeRack {
	r := &fakeRack{name: name, rack: rack.New(name, "centro", zone, 1),
		attempts: map[task.AttemptID]*fakeAttempt{}, refused: map[task.AttemptID]bool{}}
	for i := range workers {
		r.rack.SetWorker(name+"-w"+string(rune('a'+i)), rack.Up, capacity)
	}
	return r
}

func (r *fakeRack) report(id task.AttemptID, a *fakeAttempt) decision.Report {
	rep := decision.Report{Status: a.status, Attempt: id, Rack: r.name, Worker: a.worker,
		Epoch: r.rack.Epoch(), Sequence: r.rack.Sequence(), Outcome: a.outcome}
	if a.status == decision.Ended && a.outcome == task.Succeeded {
		rep.Body = []byte(id.Work.String())
	}
	return rep
}

func (r *fakeRack) refusal(id task.AttemptID) decision.Report {
	return decision.Report{Status: decision.Refused, Attempt: id, Rack: r.name,
		Epoch: r.rack.Epoch(), Sequence: r.rack.Sequence(), Reason: rack.ReasonStale}
}

// execute carries out a command and returns the resulting reports. It calls
// started for each start; accepts is whether the worker accepts a start.
func (r *fakeRack) execute(c decision.Command, accepts bool, started func(*fakeRack, task.AttemptID)) []decision.Report {
	a, known := r.attempts[c.Attempt]
	if !known {
		return r.executeUnknown(c, accepts, started)
	}
	switch c.Verb {
	case decision.Confirm:
		if a.status == decision.Held {
			return r.start(c.Attempt, a, accepts, started)
		}
	case decision.Withdraw:
		switch a.status {
		case decision.Held:
			r.releaseHeld(c.Attempt)
			return []decision.Report{r.refusal(c.Attempt)}
		case decision.Placed:
			r.end(c.Attempt, task.Stopped)
		}
	case decision.Checkpoint:
		if a.status == decision.Placed {
			r.end(c.Attempt, task.Stopped)
		}
	case decision.Forget:
		if a.status == decision.Ended {
			delete(r.attempts, c.Attempt)
			r.refused[c.Attempt] = true
		}
		return nil
	}
	return []decision.Report{r.report(c.Attempt, a)}
}

func (r *fakeRack) executeUnknown(c decision.Command, accepts bool, started func(*fakeRack, task.AttemptID)) []decision.Report {
	switch c.Verb {
	case decision.Place, decision.Hold:
		if r.refused[c.Attempt] {
			return []decision.Report{r.refusal(c.Attempt)}
		}
		v := r.rack.Reserve(c.Attempt, c.Size, c.Worker)
		if v.Reason != "" {
			r.refused[c.Attempt] = true
			return []decision.Report{r.refusal(c.Attempt)}
		}
		a := &fakeAttempt{status: decision.Held, worker: v.Worker, size: c.Size, kind: c.Kind}
		r.attempts[c.Attempt] = a
		if c.Verb == decision.Hold {
			return []decision.Report{r.report(c.Attempt, a)}
		}
		return r.start(c.Attempt, a, accepts, started)
	case decision.Confirm, decision.Withdraw, decision.Settle:
		r.refused[c.Attempt] = true
		return []decision.Report{r.refusal(c.Attempt)}
	}
	return nil
}

func (r *fakeRack) start(id task.AttemptID, a *fakeAttempt, accepts bool, started func(*fakeRack, task.AttemptID)) []decision.Report {
	if !accepts {
		r.releaseHeld(id)
		return []decision.Report{r.refusal(id)}
	}
	a.status = decision.Placed
	started(r, id)
	return []decision.Report{r.report(id, a)}
}

func (r *fakeRack) releaseHeld(id task.AttemptID) {
	r.rack.Release(id)
	delete(r.attempts, id)
	r.refused[id] = true
}

func (r *fakeRack) end(id task.AttemptID, outcome task.Outcome) {
	r.rack.Release(id)
	a := r.attempts[id]
	a.status, a.outcome = decision.Ended, outcome
}

// attemptsIn returns the attempts with a status, in a stable order.
func (r *fakeRack) attemptsIn(s decision.Status) []task.AttemptID {
	var ids []task.AttemptID
	for id, a := range r.attempts {
		if a.status == s {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b task.AttemptID) int {
		if a.String() < b.String() {
			return -1
		}
		return 1
	})
	return ids
}

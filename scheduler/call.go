package scheduler

import (
	"time"

	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// MaxCallDelay is how long a call may wait for the decision duty of an owner that has
	// enough processor time; after that new jobs are refused: half of the shortest time in which the users want one done.
	MaxCallDelay = 500 * time.Millisecond
	// behindRetry is when callers that were refused then may come back.
	behindRetry = 2 * time.Second
)

// take answers a call that has waited for some time, at once or when its effect is
// recorded.
func (o *Owner) take(now, waited time.Duration, from string, c intake.Call) {
	o.behind.Store(max(o.behind.Load(), int64(waited)))
	reply := func(r intake.Reply) { o.members.Reply(from, intake.Answer{Number: c.Number, Reply: r}) }
	switch c.Verb {
	case intake.Submit:
		o.submit(now, waited, c, reply)
	case intake.State:
		reply(o.state(c.ID))
	case intake.Cancel:
		o.cancel(now, c, reply)
	case intake.Waiting:
		reply(intake.Reply{Outcome: intake.Counted, Waiting: o.cell.WaitingJobCount(c.Queue)})
	}
}

// submit accepts a job once it is recorded. A repeat of one whose record is durable is
// answered at once, also while the store is away.
func (o *Owner) submit(now, waited time.Duration, c intake.Call, reply func(intake.Reply)) {
	if _, known := o.records.finished.get(c.ID); !known {
		if _, known := o.cell.State(c.ID); !known {
			if o.stalled(now) {
				o.refuse(now, reply)
				return
			}
			if waited > MaxCallDelay {
				o.count.Refused.Add(1)
				reply(intake.Reply{Outcome: intake.Overloaded, RetryAfter: behindRetry, Why: "the owner is behind"})
				return
			}
			job := c.Job
			job.Accepted = time.Now().UnixMilli()
			o.cell.Submit(now, job)
			o.count.Accepted.Add(1)
			o.fresh[c.ID] = nil
		}
	}
	if waiting, ok := o.fresh[c.ID]; ok {
		o.fresh[c.ID] = append(waiting, reply)
		return
	}
	if o.recording[c.ID] {
		o.underway = append(o.underway, accept(reply))
		return
	}
	accept(reply)()
}

// accept returns the effect that accepts a call.
func accept(reply func(intake.Reply)) func() {
	return func() { reply(intake.Reply{Outcome: intake.Accepted}) }
}

// refuse turns a new job away. An outage of the store that has lasted for some time
// is expected to last as long again.
func (o *Owner) refuse(now time.Duration, reply func(intake.Reply)) {
	o.count.Refused.Add(1)
	after := min(longestRetry, max(stallRetry, now-o.commitBegun))
	reply(intake.Reply{Outcome: intake.Unavailable, RetryAfter: after, Why: "the store is slow or away"})
}

// acceptFresh lets the replies to new jobs wait for the transaction that records
// them.
func (o *Owner) acceptFresh() {
	o.recording = map[string]bool{}
	for id, replies := range o.fresh {
		o.recording[id] = true
		for _, reply := range replies {
			o.effects = append(o.effects, accept(reply))
		}
	}
	o.fresh = map[string][]func(intake.Reply){}
}

// abandonFresh refuses the new jobs whose record was not sent to the store, once
// this takes too long: a caller that knows can come back.
func (o *Owner) abandonFresh(now time.Duration) {
	if !o.stalled(now) {
		return
	}
	for id, replies := range o.fresh {
		if !o.cell.Abandon(now, id) {
			// It was cancelled: its end is to be recorded.
			continue
		}
		o.records.abandon(id)
		o.desk.RemoveJob(id)
		delete(o.fresh, id)
		for _, reply := range replies {
			o.refuse(now, reply)
		}
	}
}

// state tells the state of a job as far as it is recorded.
func (o *Owner) state(id string) intake.Reply {
	if o.pendingFinal[id] {
		return intake.Reply{Outcome: intake.Reported, State: workload.Running}
	}
	if f, ok := o.records.finished.get(id); ok {
		return intake.Reply{Outcome: intake.Reported, State: f.State}
	}
	if s, ok := o.cell.State(id); ok {
		return intake.Reply{Outcome: intake.Reported, State: s}
	}
	return intake.Reply{Outcome: intake.NotFound}
}

func (o *Owner) cancel(now time.Duration, c intake.Call, reply func(intake.Reply)) {
	_, isFinished := o.records.finished.get(c.ID)
	if !isFinished && !o.cell.Cancel(now, c.ID) {
		reply(intake.Reply{Outcome: intake.NotFound})
		return
	}
	o.effects = append(o.effects, accept(reply))
}

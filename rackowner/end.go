package rackowner

import (
	"time"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/worker"
)

// HandleEvents takes the events of a worker.
func (o *Owner) HandleEvents(now time.Time, rackName, id string, events []worker.Event) {
	r, m := o.workerOf(rackName, id)
	if m == nil {
		return
	}
	for _, e := range events {
		if e.Outcome == "" {
			o.usage(r, m, id, e)
			continue
		}
		o.endedEvent(now, r, m, id, e)
	}
}

// endedEvent takes an event that an attempt ended. The inventory lists whatever
// ran before it, so that an attempt which is neither known nor placed on this
// worker was never started there by this owner or an earlier one.
func (o *Owner) endedEvent(now time.Time, r *ownedRack, m *ownedWorker, id string, e worker.Event) {
	p, ok := r.attempts[e.Attempt]
	if !ok || p.worker != id || p.status == decision.Held {
		o.counts.InvalidEvents++
		o.sendIf(r, id, worker.Command{Verb: worker.Forget, Attempt: e.Attempt})
		return
	}
	ending := end{outcome: e.Outcome, body: e.Body, used: m.plausible(e.Used)}
	if p.status == "" {
		// The start is still under way as far as is known here: an end counts
		// only together with the worker's answer.
		p.early = &ending
		return
	}
	o.end(now, r, e.Attempt, p, ending)
}

// usage passes on what an attempt was seen to use.
func (o *Owner) usage(r *ownedRack, m *ownedWorker, id string, e worker.Event) {
	p, ok := r.attempts[e.Attempt]
	if !ok || p.worker != id || p.status != decision.Placed {
		return
	}
	used := m.plausible(e.Used)
	if used.IsZero() || !notable(p.used, used) {
		return
	}
	p.used = used
	o.port.Usage(decision.Usage{Attempt: e.Attempt, Rack: r.name, Worker: id, Used: used})
}

// plausible returns a usage, or zero if it is more than the worker has.
func (m *ownedWorker) plausible(used task.Size) task.Size {
	used.Slots, used.Connections = 0, 0
	if used.HasNegative() || !used.Fits(m.capacity) {
		return task.Size{}
	}
	return used
}

// usageStep is the change of a usage that is told: an eighth of what was told
// before.
const usageStep = 8

// notable reports whether a usage differs enough from the one told last.
func notable(told, now task.Size) bool {
	return differs(told.Processors, now.Processors) ||
		differs(told.Memory, now.Memory) ||
		told.Accelerators != now.Accelerators
}

func differs(told, now int64) bool {
	change := now - told
	if change < 0 {
		change = -change
	}
	return change != 0 && change*usageStep >= told
}

// placed reports that a worker has started an attempt.
func (o *Owner) placed(r *ownedRack, id task.AttemptID, p *placement) {
	p.status = decision.Placed
	o.port.Report(r.reportOf(id, p))
}

// lost ends an attempt whose worker is gone.
func (o *Owner) lost(now time.Time, r *ownedRack, id task.AttemptID, p *placement) {
	o.counts.LostAttempts++
	o.end(now, r, id, p, end{outcome: task.Lost})
}

// end frees the room of an attempt and reports its end until it is
// acknowledged.
func (o *Owner) end(now time.Time, r *ownedRack, id task.AttemptID, p *placement, e end) {
	if p.status == decision.Ended {
		return
	}
	r.rack.Release(id)
	p.status, p.outcome, p.body, p.early = decision.Ended, e.outcome, e.body, nil
	if !e.used.IsZero() {
		p.used = e.used
	}
	r.ended++
	r.endedBytes += len(p.body)
	if p.outcome == task.Lost {
		r.onlyHere(p)
	}
	p.wait, p.repeat = RepeatInterval, now.Add(RepeatInterval)
	o.port.Report(r.reportOf(id, p))
}

// repeatEnd reports an end again and waits longer the next time.
func (o *Owner) repeatEnd(now time.Time, r *ownedRack, id task.AttemptID, p *placement) {
	p.wait = min(2*p.wait, MaxRepeatInterval)
	p.repeat = now.Add(p.wait)
	o.port.Report(r.reportOf(id, p))
}

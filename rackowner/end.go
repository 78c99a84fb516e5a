package rackowner

import (
	"time"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/worker"
)

// HandleEvents processes the events of a worker.
func (o *Owner) HandleEvents(now time.Time, rackName, id string, events []worker.Event) {
	r, m := o.lookUpWorker(rackName, id)
	if m == nil {
		return
	}
	for _, e := range events {
		if e.Outcome == "" {
			o.reportUsage(r, m, id, e)
			continue
		}
		o.handleEndEvent(now, r, m, id, e)
	}
}

// handleEndEvent processes the end of an attempt. The inventory lists everything that ran
// before it, so an attempt that is unknown, or is placed on another worker or agent, was never
// started on this one by this owner or an earlier one.
func (o *Owner) handleEndEvent(now time.Time, r *ownedRack, m *ownedWorker, id string, e worker.Event) {
	p, ok := r.attempts[e.Attempt]
	if !ok || r.isElsewhere(p, id) || p.status == decision.Held {
		o.counts.InvalidEvents++
		o.sendIfPresent(r, id, worker.Command{Verb: worker.Forget, Attempt: e.Attempt})
		return
	}
	ending := attemptEnd{outcome: e.Outcome, body: e.Body, used: m.validUsage(e.Used)}
	if p.status == "" {
		// The worker has not confirmed the start yet: the end counts only once it has.
		p.unconfirmedEnd = &ending
		return
	}
	o.recordEnd(now, r, e.Attempt, p, ending)
}

// reportUsage forwards the resource usage of an attempt if it changed significantly.
func (o *Owner) reportUsage(r *ownedRack, m *ownedWorker, id string, e worker.Event) {
	p, ok := r.attempts[e.Attempt]
	if !ok || r.isElsewhere(p, id) || p.status != decision.Placed {
		return
	}
	used := m.validUsage(e.Used)
	if used.IsZero() || !significantChange(p.used, used) {
		return
	}
	p.used = used
	o.port.Usage(decision.Usage{Attempt: e.Attempt, Rack: r.name, Worker: id, Used: used})
}

// validUsage returns the usage without slots and connections, or zero if it is negative or
// exceeds the worker's capacity.
func (m *ownedWorker) validUsage(used task.Size) task.Size {
	used.Slots, used.Connections = 0, 0
	if used.HasNegative() || !used.Fits(m.capacity) {
		return task.Size{}
	}
	return used
}

// usageChangeDivisor sets the smallest change of usage that is reported: an eighth of the
// value reported before.
const usageChangeDivisor = 8

// significantChange reports whether a usage differs enough from the last reported one.
func significantChange(reported, now task.Size) bool {
	return significantDifference(reported.Processors, now.Processors) ||
		significantDifference(reported.Memory, now.Memory) ||
		reported.Accelerators != now.Accelerators
}

func significantDifference(reported, now int64) bool {
	change := now - reported
	if change < 0 {
		change = -change
	}
	return change != 0 && change*usageChangeDivisor >= reported
}

// reportPlaced reports that a worker has started an attempt.
func (o *Owner) reportPlaced(r *ownedRack, id task.AttemptID, p *placement) {
	p.status = decision.Placed
	o.port.Report(r.reportOf(id, p))
}

// recordLost ends an attempt whose worker restarted or whose leases lapsed.
func (o *Owner) recordLost(now time.Time, r *ownedRack, id task.AttemptID, p *placement) {
	o.counts.LostAttempts++
	o.recordEnd(now, r, id, p, attemptEnd{outcome: task.Lost})
}

// recordEnd releases the reservation of an attempt and reports its end, which Tick repeats
// until it is acknowledged.
func (o *Owner) recordEnd(now time.Time, r *ownedRack, id task.AttemptID, p *placement, e attemptEnd) {
	if p.status == decision.Ended {
		return
	}
	r.rack.Release(id)
	p.status, p.outcome, p.body, p.unconfirmedEnd = decision.Ended, e.outcome, e.body, nil
	p.strandedUntil = time.Time{}
	if !e.used.IsZero() {
		p.used = e.used
	}
	r.pendingEndCount++
	r.pendingEndBytes += len(p.body)
	if p.outcome == task.Lost {
		r.markOnlyRecord(p)
	}
	p.repeatInterval, p.repeatAt = RepeatInterval, now.Add(RepeatInterval)
	o.port.Report(r.reportOf(id, p))
}

// repeatEnd reports an end again and doubles the interval up to MaxRepeatInterval.
func (o *Owner) repeatEnd(now time.Time, r *ownedRack, id task.AttemptID, p *placement) {
	p.repeatInterval = min(2*p.repeatInterval, MaxRepeatInterval)
	p.repeatAt = now.Add(p.repeatInterval)
	o.port.Report(r.reportOf(id, p))
}

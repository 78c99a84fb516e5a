package rackowner

import (
	"time"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/worker"
)

// HandleCommand executes a command from the owner of a partition, unless an owner with a
// higher epoch is known. A command without a partition comes from a member that runs the
// work on its own.
func (o *Owner) HandleCommand(now time.Time, from string, c peer.Command) {
	if c.Partition != "" && !o.claims.Observe(c.Partition, from, c.Epoch) {
		o.counts.StaleCommands++
		return
	}
	r, ok := o.racks[c.Command.Rack]
	if !ok {
		o.refuseNotOwned(c.Command)
		return
	}
	if p, known := r.attempts[c.Command.Attempt]; known {
		o.handleKnownAttempt(now, r, p, c.Command)
		return
	}
	if c.Command.Epoch != 0 && c.Command.Epoch != r.rack.Epoch() && (c.Command.Verb == decision.Place || c.Command.Verb == decision.Hold) {
		// A previous owner may already have reported that the attempt never starts.
		o.reportRefused(r, c.Command.Attempt, rack.ReasonStale)
		return
	}
	o.handleUnknownAttempt(now, r, c.Command)
}

// refuseNotOwned refuses a start in a rack that this host does not own: the command was
// sent to no other host. It ignores other commands, since this host does not know the
// state of their attempts.
func (o *Owner) refuseNotOwned(c decision.Command) {
	if c.Verb != decision.Place && c.Verb != decision.Hold {
		return
	}
	o.port.Report(decision.Report{
		Status: decision.Refused, Attempt: c.Attempt, Rack: c.Rack, Reason: rack.ReasonNotOwned,
	})
}

// handleUnknownAttempt executes a command for an attempt that has no placement.
func (o *Owner) handleUnknownAttempt(now time.Time, r *ownedRack, c decision.Command) {
	switch c.Verb {
	case decision.Place, decision.Hold:
		o.reserve(now, r, c)
	case decision.Confirm, decision.Withdraw, decision.Settle, decision.Checkpoint:
		if o.canRuleOutUnknown(now, r) {
			o.forbidStart(now, r, c.Attempt, c.Epoch)
		}
	case decision.Forget:
		o.sendIfPresent(r, c.Worker, worker.Command{Verb: worker.Forget, Attempt: c.Attempt})
	}
}

// handleKnownAttempt executes a command for an attempt that has a placement.
func (o *Owner) handleKnownAttempt(now time.Time, r *ownedRack, p *placement, c decision.Command) {
	switch c.Verb {
	case decision.Place, decision.Hold, decision.Settle:
		if p.status == decision.Held {
			p.holdExpiresAt = now.Add(HoldTimeout)
		}
		o.repeatReport(r, c.Attempt, p)
	case decision.Confirm:
		o.confirm(r, p, c)
	case decision.Withdraw:
		o.interrupt(now, r, p, c, worker.Stop)
	case decision.Forget:
		if p.status == decision.Ended {
			r.removeEnded(c.Attempt, p)
			o.sendIfPresent(r, p.worker, worker.Command{Verb: worker.Forget, Attempt: c.Attempt})
		}
	case decision.Checkpoint:
		o.interrupt(now, r, p, c, worker.Checkpoint)
	case decision.Throttle:
		o.sendIfPresent(r, p.worker, worker.Command{Verb: worker.Throttle, Attempt: c.Attempt})
	}
}

// repeatReport resends the current status of an attempt, if it has one.
func (o *Owner) repeatReport(r *ownedRack, id task.AttemptID, p *placement) {
	if p.status != "" {
		o.port.Report(r.reportOf(id, p))
	}
}

// reserve reserves capacity for a new attempt and holds or starts it.
func (o *Owner) reserve(now time.Time, r *ownedRack, c decision.Command) {
	if _, ok := r.refusedUntil[c.Attempt]; ok {
		o.reportRefused(r, c.Attempt, rack.ReasonStale)
		return
	}
	if r.backlogFull() {
		o.reportRefused(r, c.Attempt, ReasonBacklog)
		return
	}
	size := clampNegative(c.Size)
	v := r.rack.Reserve(c.Attempt, size, c.Worker, c.Avoid...)
	if v.Reason != "" {
		o.reportRefused(r, c.Attempt, v.Reason)
		return
	}
	p := &placement{worker: v.Worker, size: size}
	r.attempts[c.Attempt] = p
	if c.Verb == decision.Hold {
		p.status, p.holdExpiresAt = decision.Held, now.Add(HoldTimeout)
		o.port.Report(r.reportOf(c.Attempt, p))
		return
	}
	o.start(r, p, c)
}

// confirm starts a held attempt, unless its worker has begun to leave. A repeated
// confirmation resends the status of the attempt.
func (o *Owner) confirm(r *ownedRack, p *placement, c decision.Command) {
	if p.status != decision.Held {
		o.repeatReport(r, c.Attempt, p)
		return
	}
	if r.rack.State(p.worker) != rack.Up {
		o.releaseAndRefuse(r, c.Attempt, ReasonLeaving)
		return
	}
	o.start(r, p, c)
}

// start sends the start command of an attempt that has a reservation. After a pause of the
// process it refuses the attempt, since the worker may have begun to leave meanwhile.
func (o *Owner) start(r *ownedRack, p *placement, c decision.Command) {
	if o.pause.blocksStarts() {
		o.releaseAndRefuse(r, c.Attempt, ReasonPaused)
		return
	}
	p.status, p.holdExpiresAt = "", time.Time{}
	err := o.port.Send(r.name, p.worker, worker.Command{
		Verb: worker.Start, Attempt: c.Attempt, Size: p.size, RunTime: c.RunTime, Payload: c.Payload,
	})
	if err != nil {
		o.releaseAndRefuse(r, c.Attempt, rack.ReasonWorkerRefused)
	}
}

// interrupt releases a held attempt, or sends the worker of a started one the given
// command. If the attempt has ended, it resends the report. An agent that never had the attempt
// would report it as absent, so a stranded attempt is left to its lease.
func (o *Owner) interrupt(now time.Time, r *ownedRack, p *placement, c decision.Command, verb worker.Verb) {
	switch {
	case p.isStranded():
	case p.status == decision.Held:
		r.refusedUntil[c.Attempt] = now.Add(RefusalRetention)
		o.releaseAndRefuse(r, c.Attempt, ReasonWithdrawn)
	case p.status == decision.Ended:
		o.port.Report(r.reportOf(c.Attempt, p))
	default:
		o.sendIfPresent(r, p.worker, worker.Command{Verb: verb, Attempt: c.Attempt})
	}
}

// releaseAndRefuse releases the reservation of an attempt that has not started and never
// will, and reports it as refused.
func (o *Owner) releaseAndRefuse(r *ownedRack, id task.AttemptID, reason string) {
	r.rack.Release(id)
	delete(r.attempts, id)
	o.reportRefused(r, id, reason)
}

// forbidStart prevents an unknown attempt from starting for as long as its start command
// may be in flight, and reports it as refused, or as lost if it may have run. If no more
// refusals can be retained, it reports nothing, and the owner of the partition asks again.
func (o *Owner) forbidStart(now time.Time, r *ownedRack, id task.AttemptID, sentEpoch uint64) {
	if len(r.refusedUntil) >= MaxRetainedRefusals {
		return
	}
	r.refusedUntil[id] = now.Add(RefusalRetention)
	if r.mayHaveRun(sentEpoch) {
		o.port.Report(decision.Report{
			Status: decision.Ended, Attempt: id, Rack: r.name,
			Epoch: r.rack.Epoch(), Sequence: r.rack.Sequence(), Outcome: task.Lost,
		})
		return
	}
	o.reportRefused(r, id, ReasonWithdrawn)
}

// reportRefused reports that an attempt has not started and can no longer start.
func (o *Owner) reportRefused(r *ownedRack, id task.AttemptID, reason string) {
	o.port.Report(decision.Report{
		Status: decision.Refused, Attempt: id, Rack: r.name,
		Epoch: r.rack.Epoch(), Sequence: r.rack.Sequence(), Reason: reason,
	})
}

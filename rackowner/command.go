package rackowner

import (
	"time"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/worker"
)

// HandleCommand carries out what the owner of a partition asks, unless another owner
// under a higher epoch is known. A command without a partition is of a member
// that runs the work on its own.
func (o *Owner) HandleCommand(now time.Time, from string, c peer.Command) {
	if c.Partition != "" && !o.claims.Observe(c.Partition, from, c.Epoch) {
		o.counts.StaleCommands++
		return
	}
	r, ok := o.racks[c.Command.Rack]
	if !ok {
		o.notOwned(c.Command)
		return
	}
	if p, known := r.attempts[c.Command.Attempt]; known {
		o.commandKnown(now, r, p, c.Command)
		return
	}
	if c.Command.Epoch != 0 && c.Command.Epoch != r.rack.Epoch() && (c.Command.Verb == decision.Place || c.Command.Verb == decision.Hold) {
		// An owner before may have told by now that the attempt never starts.
		o.refuse(r, c.Command.Attempt, rack.ReasonStale)
		return
	}
	o.commandUnknown(now, r, c.Command)
}

// notOwned answers for a rack that this host does not own. A start that came
// here can happen nowhere else; of anything else nothing is known.
func (o *Owner) notOwned(c decision.Command) {
	if c.Verb != decision.Place && c.Verb != decision.Hold {
		return
	}
	o.port.Report(decision.Report{
		Status: decision.Refused, Attempt: c.Attempt, Rack: c.Rack, Reason: rack.ReasonNotOwned,
	})
}

// commandUnknown carries out a command for an attempt that has no room.
func (o *Owner) commandUnknown(now time.Time, r *ownedRack, c decision.Command) {
	switch c.Verb {
	case decision.Place, decision.Hold:
		o.reserve(now, r, c)
	case decision.Confirm, decision.Withdraw, decision.Settle, decision.Checkpoint:
		if o.settled(now, r) {
			o.forbid(now, r, c.Attempt, c.Epoch)
		}
	case decision.Forget:
		o.sendIf(r, c.Worker, worker.Command{Verb: worker.Forget, Attempt: c.Attempt})
	}
}

// commandKnown carries out a command for an attempt that has room.
func (o *Owner) commandKnown(now time.Time, r *ownedRack, p *placement, c decision.Command) {
	switch c.Verb {
	case decision.Place, decision.Hold, decision.Settle:
		if p.status == decision.Held {
			p.expires = now.Add(HoldTimeout)
		}
		o.repeatReport(r, c.Attempt, p)
	case decision.Confirm:
		o.confirm(r, p, c)
	case decision.Withdraw:
		o.interrupt(now, r, p, c, worker.Stop)
	case decision.Forget:
		if p.status == decision.Ended {
			r.forget(c.Attempt, p)
			o.sendIf(r, p.worker, worker.Command{Verb: worker.Forget, Attempt: c.Attempt})
		}
	case decision.Checkpoint:
		o.interrupt(now, r, p, c, worker.Checkpoint)
	case decision.Throttle:
		o.sendIf(r, p.worker, worker.Command{Verb: worker.Throttle, Attempt: c.Attempt})
	}
}

// repeatReport tells again what is known of an attempt.
func (o *Owner) repeatReport(r *ownedRack, id task.AttemptID, p *placement) {
	if p.status != "" {
		o.port.Report(r.reportOf(id, p))
	}
}

// reserve gives room to a new attempt.
func (o *Owner) reserve(now time.Time, r *ownedRack, c decision.Command) {
	if _, ok := r.refused[c.Attempt]; ok {
		o.refuse(r, c.Attempt, rack.ReasonStale)
		return
	}
	if r.full() {
		o.refuse(r, c.Attempt, ReasonBacklog)
		return
	}
	size := positive(c.Size)
	v := r.rack.Reserve(c.Attempt, size, c.Worker, c.Avoid...)
	if v.Reason != "" {
		o.refuse(r, c.Attempt, v.Reason)
		return
	}
	p := &placement{worker: v.Worker, size: size}
	r.attempts[c.Attempt] = p
	if c.Verb == decision.Hold {
		p.status, p.expires = decision.Held, now.Add(HoldTimeout)
		o.port.Report(r.reportOf(c.Attempt, p))
		return
	}
	o.start(r, p, c)
}

// confirm starts an attempt that is held, unless its worker has begun to leave
// since. A repeat tells what became of the first.
func (o *Owner) confirm(r *ownedRack, p *placement, c decision.Command) {
	if p.status != decision.Held {
		o.repeatReport(r, c.Attempt, p)
		return
	}
	if r.rack.State(p.worker) != rack.Up {
		o.giveBack(r, c.Attempt, ReasonLeaving)
		return
	}
	o.start(r, p, c)
}

// start sends the start of an attempt that has room. After a pause of the process
// it is refused: the worker may have begun to leave meanwhile.
func (o *Owner) start(r *ownedRack, p *placement, c decision.Command) {
	if o.pause.holds() {
		o.giveBack(r, c.Attempt, ReasonPaused)
		return
	}
	p.status, p.expires = "", time.Time{}
	err := o.port.Send(r.name, p.worker, worker.Command{
		Verb: worker.Start, Attempt: c.Attempt, Size: p.size, RunTime: c.RunTime, Payload: c.Payload,
	})
	if err != nil {
		o.giveBack(r, c.Attempt, rack.ReasonWorkerRefused)
	}
}

// interrupt ends an attempt by a command to its worker.
func (o *Owner) interrupt(now time.Time, r *ownedRack, p *placement, c decision.Command, verb worker.Verb) {
	switch p.status {
	case decision.Held:
		r.refused[c.Attempt] = now.Add(RefusalRetention)
		o.giveBack(r, c.Attempt, ReasonWithdrawn)
	case decision.Ended:
		o.port.Report(r.reportOf(c.Attempt, p))
	default:
		o.sendIf(r, p.worker, worker.Command{Verb: verb, Attempt: c.Attempt})
	}
}

// giveBack frees the room of an attempt that has not started and never will.
func (o *Owner) giveBack(r *ownedRack, id task.AttemptID, reason string) {
	r.rack.Release(id)
	delete(r.attempts, id)
	o.refuse(r, id, reason)
}

// forbid makes sure that an attempt does not start later, for as long as its
// start may be under way, and tells so. If there is no room for a note of it,
// nothing is said, and the owner of the partition asks again.
func (o *Owner) forbid(now time.Time, r *ownedRack, id task.AttemptID, sentUnder uint64) {
	if len(r.refused) >= MaxRetainedRefusals {
		return
	}
	r.refused[id] = now.Add(RefusalRetention)
	if r.mayHaveRun(sentUnder) {
		o.port.Report(decision.Report{
			Status: decision.Ended, Attempt: id, Rack: r.name,
			Epoch: r.rack.Epoch(), Sequence: r.rack.Sequence(), Outcome: task.Lost,
		})
		return
	}
	o.refuse(r, id, ReasonWithdrawn)
}

// refuse tells that an attempt has not started and can't start any more.
func (o *Owner) refuse(r *ownedRack, id task.AttemptID, reason string) {
	o.port.Report(decision.Report{
		Status: decision.Refused, Attempt: id, Rack: r.name,
		Epoch: r.rack.Epoch(), Sequence: r.rack.Sequence(), Reason: reason,
	})
}

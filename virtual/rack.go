package virtual

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/task"
)

// rackOwner is the owner of one rack, including the rack's workers.
type rackOwner struct {
	run    *run
	name   string
	region string
	rack   *rack.Rack
	// workerIDs is in the order of the cell.
	workerIDs []string
	workers   map[string]*workerState
	// attempts holds every attempt from its reservation until the scheduler
	// acknowledges its end.
	attempts map[task.AttemptID]*attempt
	// withdrawn holds the attempts that must no longer start.
	withdrawn map[task.AttemptID]bool
	// lost reports whether all workers of the rack have permanently stopped
	// responding.
	lost bool
	// digestPending reports whether a digest is scheduled.
	digestPending bool
	// sentDigest is the last digest sent.
	sentDigest rack.Digest
}

// workerState is the state of one worker.
type workerState struct {
	capacity task.Size
	// reserved is the sum of the reservations; above capacity the run counts an
	// overcommitment.
	reserved task.Size
	// silent reports whether the worker has stopped responding.
	silent bool
	// failing reports whether the worker fails every attempt that it starts;
	// failingSince is when that last changed.
	failing      bool
	failingSince time.Duration
}

// attempt is one attempt in a rack.
type attempt struct {
	command decision.Command
	work    *work
	worker  string
	// status is the last reported status; empty until the worker has responded
	// to the start.
	status  decision.Status
	outcome task.Outcome
	// startedAt is when the worker started the attempt; negative before.
	startedAt time.Duration
	// slowdown is the factor by which a reservation below the true use
	// lengthens the run.
	slowdown float64
	// order never decreases from one reservation to the next.
	order uint64
}

func (r *run) addRacks() {
	for _, w := range r.load.Cell.Workers {
		o, ok := r.racks[w.Rack]
		if !ok {
			o = &rackOwner{
				run: r, name: w.Rack, region: w.Region, rack: rack.New(w.Rack, w.Region, w.Zone, 1),
				workers: map[string]*workerState{}, attempts: map[task.AttemptID]*attempt{},
				withdrawn: map[task.AttemptID]bool{},
			}
			r.racks[w.Rack] = o
			r.owners = append(r.owners, o)
			r.after(0, func() { r.report(o, decision.DigestChanged{Digest: o.rack.Digest()}) })
		}
		o.rack.SetWorker(w.ID, rack.Up, w.Capacity)
		o.workerIDs = append(o.workerIDs, w.ID)
		o.workers[w.ID] = &workerState{capacity: w.Capacity}
	}
}

// handle executes a command of the scheduler.
func (o *rackOwner) handle(c decision.Command) {
	if a, ok := o.attempts[c.Attempt]; ok {
		o.handleExisting(a, c)
		return
	}
	switch c.Verb {
	case decision.Place, decision.Hold:
		o.reserve(c)
	case decision.Confirm:
		o.refuse(c.Attempt, rack.ReasonStale)
	case decision.Withdraw, decision.Settle:
		o.withdrawn[c.Attempt] = true
		o.refuse(c.Attempt, rack.ReasonStale)
	}
}

func (o *rackOwner) handleExisting(a *attempt, c decision.Command) {
	switch c.Verb {
	case decision.Place, decision.Hold, decision.Settle:
		if a.status != "" {
			o.report(a)
		}
	case decision.Confirm:
		if a.status == decision.Held {
			a.status = ""
			o.start(a)
		}
	case decision.Withdraw:
		o.withdraw(a)
	case decision.Checkpoint:
		o.checkpoint(a)
	case decision.Forget:
		if a.status == decision.Ended {
			delete(o.attempts, c.Attempt)
		}
	}
}

// reserve reserves capacity for a new attempt, and starts it if the command is
// to place it.
func (o *rackOwner) reserve(c decision.Command) {
	if o.withdrawn[c.Attempt] {
		o.refuse(c.Attempt, rack.ReasonStale)
		return
	}
	v := o.rack.Reserve(c.Attempt, c.Size, c.Worker, c.Avoid...)
	if v.Reason != "" {
		o.refuse(c.Attempt, v.Reason)
		return
	}
	o.run.result.Placements++
	a := &attempt{command: c, worker: v.Worker, work: o.run.works[c.Attempt.Work], startedAt: -1, order: o.run.added}
	o.attempts[c.Attempt] = a
	o.addReservation(a)
	o.changed()
	if c.Verb == decision.Place {
		o.start(a)
		return
	}
	a.status = decision.Held
	o.report(a)
	o.run.after(holdTimeout, func() {
		if a.status == decision.Held && o.attempts[c.Attempt] == a {
			o.drop(a)
		}
	})
}

// addReservation adds an attempt to its worker's reservations and counts a
// violation if they exceed the worker's capacity.
func (o *rackOwner) addReservation(a *attempt) {
	w := o.workers[a.worker]
	w.reserved = w.reserved.Plus(a.command.Size)
	if w.capacity.Minus(w.reserved).HasNegative() {
		o.run.result.Overcommitted++
	}
}

func (o *rackOwner) release(a *attempt) {
	if o.rack.Release(a.command.Attempt) {
		w := o.workers[a.worker]
		w.reserved = w.reserved.Minus(a.command.Size)
	}
	o.changed()
}

func (o *rackOwner) withdraw(a *attempt) {
	switch a.status {
	case decision.Held:
		o.drop(a)
	case decision.Ended:
		o.report(a)
	default:
		o.run.after(o.run.options.LocalDelay, func() { o.stop(a) })
	}
}

// drop releases the capacity held for an attempt and refuses the attempt.
func (o *rackOwner) drop(a *attempt) {
	o.withdrawn[a.command.Attempt] = true
	o.release(a)
	delete(o.attempts, a.command.Attempt)
	o.refuse(a.command.Attempt, rack.ReasonStale)
}

func (o *rackOwner) refuse(id task.AttemptID, reason string) {
	o.run.report(o, decision.Report{
		Status: decision.Refused, Attempt: id, Rack: o.name,
		Epoch: o.rack.Epoch(), Sequence: o.rack.Sequence(), Reason: reason,
	})
}

func (o *rackOwner) report(a *attempt) {
	e := decision.Report{
		Status: a.status, Attempt: a.command.Attempt, Rack: o.name, Worker: a.worker,
		Epoch: o.rack.Epoch(), Sequence: o.rack.Sequence(),
	}
	if a.status == decision.Ended {
		e.Outcome, e.Used = a.outcome, a.work.item.Used
	}
	o.run.report(o, e)
}

// changed schedules a digest unless one is already scheduled.
func (o *rackOwner) changed() {
	if o.digestPending {
		return
	}
	o.digestPending = true
	interval := o.run.options.DigestInterval
	if o.region != o.run.load.Cell.Region {
		interval = o.run.options.RemoteDigestInterval
	}
	o.run.after(interval, func() {
		o.digestPending = false
		o.run.report(o, decision.DigestChanged{Digest: o.rack.Digest()})
	})
}

// activeAttempts returns the attempts that have not ended, in the order of
// their reservations.
func (o *rackOwner) activeAttempts() []task.AttemptID {
	var ids []task.AttemptID
	for id, a := range o.attempts {
		if a.status != decision.Ended {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(x, y task.AttemptID) int {
		if c := cmp.Compare(o.attempts[x].order, o.attempts[y].order); c != 0 {
			return c
		}
		return cmp.Compare(x.String(), y.String())
	})
	return ids
}

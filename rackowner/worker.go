package rackowner

import (
	"time"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/worker"
)

// refreshWorkers opens links to the workers of a rack and records which are leaving. It
// includes recently removed workers, since they may still run attempts.
func (o *Owner) refreshWorkers(now time.Time, r *ownedRack) {
	for _, h := range o.workerList.hosts {
		if h.Rack == r.name {
			o.openWorker(now, r, h)
		}
	}
	for _, d := range o.workerList.removed {
		if d.host.Rack == r.name {
			o.openWorker(now, r, d.host)
		}
	}
	for id, m := range r.workers {
		o.setLeaving(r, id, m, o.workerList.isLeaving(id, r.name))
		if o.workerList.isListed(id, r.name) {
			m.unlistedSince = time.Time{}
		} else if m.unlistedSince.IsZero() {
			m.unlistedSince = now
		}
	}
}

// openWorker opens the link to a worker, or reopens it if the address has changed.
func (o *Owner) openWorker(now time.Time, r *ownedRack, h tablestore.Host) {
	m, known := r.workers[h.ID]
	if known && m.address == h.Address {
		return
	}
	if known {
		// An expected worker has no link to close; Close has no effect then.
		o.port.Close(r.name, h.ID)
		r.strand(now, h.ID, m)
		m.address, m.inventoryKnown, m.expectedSince = h.Address, false, time.Time{}
		o.port.Open(r.name, r.rack.Epoch(), h)
		o.port.SetLeaving(r.name, h.ID, m.leaving)
		return
	}
	r.workers[h.ID] = &ownedWorker{address: h.Address}
	r.rack.SetWorker(h.ID, rack.Syncing, task.Size{})
	o.port.Open(r.name, r.rack.Epoch(), h)
}

// expectUnlisted adds a worker of an earlier owner that is not listed. It can't be
// contacted, so its leases must lapse first.
func (o *Owner) expectUnlisted(now time.Time, r *ownedRack, id string) {
	if r.workers[id] != nil {
		return
	}
	r.workers[id] = &ownedWorker{leaving: true, expectedSince: now, unlistedSince: now}
	r.rack.SetWorker(id, rack.Silent, task.Size{})
}

func (o *Owner) setLeaving(r *ownedRack, id string, m *ownedWorker, leaving bool) {
	if m.leaving == leaving {
		return
	}
	m.leaving = leaving
	o.port.SetLeaving(r.name, id, leaving)
	switch state := r.rack.State(id); {
	case leaving && state == rack.Up:
		r.rack.SetState(id, rack.Leaving)
	case !leaving && state == rack.Leaving:
		r.rack.SetState(id, rack.Up)
	}
}

// removeUnlisted removes the workers that have been off the list for longer than
// LeaseLapseTimeout and run nothing. It also marks expected workers whose leases have lapsed.
func (o *Owner) removeUnlisted(now time.Time, r *ownedRack) {
	for id, m := range r.workers {
		if !m.expectedSince.IsZero() && now.Sub(m.expectedSince) > worker.LeaseLapseTimeout && r.predecessorLeasesLapsed(now) {
			m.leasesLapsed = true
		}
		if m.unlistedSince.IsZero() || now.Sub(m.unlistedSince) <= worker.LeaseLapseTimeout {
			continue
		}
		if !m.leasesLapsed && (!m.inventoryKnown || len(r.rack.Attempts(id)) > 0) {
			continue
		}
		r.addDoubtForUncontacted()
		r.addDoubtForRemoved(id, m)
		r.markEndsOnlyRecord(id)
		o.port.Close(r.name, id)
		delete(r.workers, id)
		r.rack.RemoveWorker(id)
	}
}

// markEndsOnlyRecord records that a worker no longer retains the ends of its attempts.
func (r *ownedRack) markEndsOnlyRecord(id string) {
	for _, p := range r.attempts {
		if p.worker == id && p.status == decision.Ended {
			r.markOnlyRecord(p)
		}
	}
}

// HandleInventory adopts the attempts that a worker holds. Placed attempts that the
// inventory lacks are lost, unless another agent may run them.
func (o *Owner) HandleInventory(now time.Time, rackName, id string, i worker.Inventory) {
	r, m := o.lookUpWorker(rackName, id)
	if m == nil {
		return
	}
	state := rack.Up
	if m.leaving {
		state = rack.Leaving
	}
	r.recordInstance(m, i)
	m.inventoryKnown, m.leasesLapsed = true, false
	m.capacity = clampNegative(i.Capacity)
	r.rack.SetWorker(id, state, m.capacity)
	r.rack.SetInstance(id, m.lastInstance)
	r.updateDigestDoubt()
	present := map[task.AttemptID]bool{}
	for _, a := range i.Attempts {
		present[a.ID] = true
		o.adoptAttempt(now, r, id, a)
	}
	o.settleUnlisted(now, r, id, present)
}

// settleUnlisted settles the attempts of a worker that its inventory lacks. Those stranded on
// another agent than the one that answered end when its leases have lapsed.
func (o *Owner) settleUnlisted(now time.Time, r *ownedRack, id string, present map[task.AttemptID]bool) {
	for attempt, p := range r.attempts {
		switch {
		case r.isElsewhere(p, id):
		case present[attempt]:
			p.strandedUntil = time.Time{}
		case p.status == decision.Ended:
			r.markOnlyRecord(p)
		case p.isStranded() || p.status == decision.Placed:
			o.recordLost(now, r, attempt, p)
		}
	}
}

// adoptAttempt adopts one attempt of an inventory.
func (o *Owner) adoptAttempt(now time.Time, r *ownedRack, id string, a worker.Attempt) {
	p, known := r.attempts[a.ID]
	switch {
	case known && r.isElsewhere(p, id):
		// The worker lists an attempt that this owner placed on another worker or agent.
		o.counts.InvalidEvents++
		o.sendIfPresent(r, id, worker.Command{Verb: worker.Stop, Attempt: a.ID})
	case known && p.status == decision.Ended:
		o.sendIfPresent(r, id, worker.Command{Verb: worker.Stop, Attempt: a.ID})
	case a.Outcome != "":
		if !known {
			p = &placement{worker: id}
			r.attempts[a.ID] = p
		}
		o.recordEnd(now, r, a.ID, p, attemptEnd{outcome: a.Outcome, body: a.Body})
	case !known:
		r.rack.Adopt(a.ID, clampNegative(a.Size), id)
		p = &placement{worker: id, size: clampNegative(a.Size)}
		r.attempts[a.ID] = p
		o.reportPlaced(r, a.ID, p)
	case p.status == "":
		o.reportPlaced(r, a.ID, p)
	}
}

// HandleResult processes a worker's answer to a command.
func (o *Owner) HandleResult(now time.Time, rackName, id string, c worker.Command, result worker.Result) {
	r, p := o.pendingStart(rackName, id, c)
	if p == nil {
		return
	}
	if result.Refused != "" {
		reason := rack.ReasonWorkerRefused
		if result.Refused == worker.RefusedLeaving {
			reason = ReasonLeaving
		}
		o.releaseAndRefuse(r, c.Attempt, reason)
		return
	}
	o.reportPlaced(r, c.Attempt, p)
	if p.unconfirmedEnd != nil {
		o.recordEnd(now, r, c.Attempt, p, *p.unconfirmedEnd)
	}
}

// HandleUnanswered processes a command that a worker did not answer before it restarted:
// an unanswered start may have run, so the attempt is lost.
func (o *Owner) HandleUnanswered(now time.Time, rackName, id string, c worker.Command) {
	if r, p := o.pendingStart(rackName, id, c); p != nil {
		o.recordLost(now, r, c.Attempt, p)
	}
}

// pendingStart returns the rack and the placement of an unconfirmed start, or nil if the
// command is not one.
func (o *Owner) pendingStart(rackName, id string, c worker.Command) (*ownedRack, *placement) {
	r, m := o.lookUpWorker(rackName, id)
	if m == nil || c.Verb != worker.Start {
		return nil, nil
	}
	p, ok := r.attempts[c.Attempt]
	if !ok || p.status != "" || p.worker != id {
		return nil, nil
	}
	return r, p
}

// HandleSilence processes the time for which a worker has not answered. Once its leases
// have certainly lapsed, its attempts are lost and its holds refused. The caller ensures
// that this host still owns the rack.
func (o *Owner) HandleSilence(now time.Time, rackName, id string, silence time.Duration) {
	r, m := o.lookUpWorker(rackName, id)
	if m == nil {
		return
	}
	if r.rack.State(id) != rack.Syncing {
		r.rack.SetState(id, rack.Silent)
	}
	if silence <= worker.LeaseLapseTimeout || m.lastInstance == 0 && !r.predecessorLeasesLapsed(now) {
		return
	}
	m.leasesLapsed = true
	for _, attempt := range r.rack.Attempts(id) {
		if p := r.attempts[attempt]; p != nil && p.status != decision.Held {
			o.recordLost(now, r, attempt, p)
			continue
		}
		o.releaseAndRefuse(r, attempt, rack.ReasonNoCapacity)
	}
}

// HandleFenced records that a worker obeys a later owner. That owner is responsible for
// its attempts, so nothing is reported of them here.
func (o *Owner) HandleFenced(rackName, id string) {
	r, m := o.lookUpWorker(rackName, id)
	if m == nil {
		return
	}
	m.inventoryKnown = false
	r.rack.SetState(id, rack.Silent)
}

func (o *Owner) lookUpWorker(rackName, id string) (*ownedRack, *ownedWorker) {
	r, ok := o.racks[rackName]
	if !ok {
		return nil, nil
	}
	return r, r.workers[id]
}

// clampNegative returns a size with negative fields set to 0, since they would add free
// capacity.
func clampNegative(s task.Size) task.Size {
	s.Processors = max(s.Processors, 0)
	s.Memory = max(s.Memory, 0)
	s.Accelerators = max(s.Accelerators, 0)
	s.Slots = max(s.Slots, 0)
	s.Connections = max(s.Connections, 0)
	return s
}

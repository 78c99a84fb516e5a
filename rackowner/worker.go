package rackowner

import (
	"time"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/worker"
)

// relist opens links to the workers of a rack and notes which take nothing new.
// A worker that has just left the list may still run something, and is asked.
func (o *Owner) relist(now time.Time, r *ownedRack) {
	for _, h := range o.list.hosts {
		if h.Rack == r.name {
			o.open(r, h)
		}
	}
	for _, d := range o.list.left {
		if d.host.Rack == r.name {
			o.open(r, d.host)
		}
	}
	for id, m := range r.workers {
		o.setLeaving(r, id, m, o.list.leaving(id, r.name))
		if o.list.has(id, r.name) {
			m.unlisted = time.Time{}
		} else if m.unlisted.IsZero() {
			m.unlisted = now
		}
	}
}

// open begins to talk to a worker, at a new address if it has moved.
func (o *Owner) open(r *ownedRack, h tablestore.Host) {
	m, known := r.workers[h.ID]
	if known && m.address == h.Address {
		return
	}
	if known {
		// A worker without an address has no link, which is no fault.
		o.port.Close(r.name, h.ID)
		m.address, m.synced, m.expected = h.Address, false, time.Time{}
		o.port.Open(r.name, r.rack.Epoch(), h)
		o.port.SetLeaving(r.name, h.ID, m.leaving)
		return
	}
	r.workers[h.ID] = &ownedWorker{address: h.Address}
	r.rack.SetWorker(h.ID, rack.Syncing, task.Size{})
	o.port.Open(r.name, r.rack.Epoch(), h)
}

// expect waits for the leases of a worker to lapse that the owner before had and
// that this host can't reach, since it is not listed.
func (o *Owner) expect(now time.Time, r *ownedRack, id string) {
	if r.workers[id] != nil {
		return
	}
	r.workers[id] = &ownedWorker{leaving: true, expected: now, unlisted: now}
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

// dropGone drops the workers that are off the list and run nothing.
func (o *Owner) dropGone(now time.Time, r *ownedRack) {
	for id, m := range r.workers {
		if !m.expected.IsZero() && now.Sub(m.expected) > worker.LapseLength && r.lapsed(now) {
			m.gone = true
		}
		if m.unlisted.IsZero() || now.Sub(m.unlisted) <= worker.LapseLength {
			continue
		}
		if !m.gone && (!m.synced || len(r.rack.Attempts(id)) > 0) {
			continue
		}
		r.doubtUnheard()
		r.doubtDropped(id, m)
		r.dropped(id)
		o.port.Close(r.name, id)
		delete(r.workers, id)
		r.rack.RemoveWorker(id)
	}
}

// dropped notes that the ends on a worker are remembered nowhere else.
func (r *ownedRack) dropped(id string) {
	for _, p := range r.attempts {
		if p.worker == id && p.status == decision.Ended {
			r.onlyHere(p)
		}
	}
}

// HandleInventory takes over what a worker holds.
func (o *Owner) HandleInventory(now time.Time, rackName, id string, i worker.Inventory) {
	r, m := o.workerOf(rackName, id)
	if m == nil {
		return
	}
	state := rack.Up
	if m.leaving {
		state = rack.Leaving
	}
	r.noteInstance(m, i)
	m.synced, m.gone = true, false
	m.capacity = positive(i.Capacity)
	r.rack.SetWorker(id, state, m.capacity)
	r.rack.SetInstance(id, m.instance)
	r.tellDoubt()
	present := map[task.AttemptID]bool{}
	for _, a := range i.Attempts {
		present[a.ID] = true
		o.adoptAttempt(now, r, id, a)
	}
	for attempt, p := range r.attempts {
		switch {
		case p.worker != id || present[attempt]:
		case p.status == decision.Placed:
			o.lost(now, r, attempt, p)
		case p.status == decision.Ended:
			r.onlyHere(p)
		}
	}
}

// adoptAttempt takes over one attempt of an inventory.
func (o *Owner) adoptAttempt(now time.Time, r *ownedRack, id string, a worker.Attempt) {
	p, known := r.attempts[a.ID]
	switch {
	case known && p.worker != id:
		// The worker claims an attempt that this owner placed on another one.
		o.counts.InvalidEvents++
		o.sendIf(r, id, worker.Command{Verb: worker.Stop, Attempt: a.ID})
	case known && p.status == decision.Ended:
		o.sendIf(r, id, worker.Command{Verb: worker.Stop, Attempt: a.ID})
	case a.Outcome != "":
		if !known {
			p = &placement{worker: id}
			r.attempts[a.ID] = p
		}
		o.end(now, r, a.ID, p, end{outcome: a.Outcome, body: a.Body})
	case !known:
		r.rack.Adopt(a.ID, positive(a.Size), id)
		p = &placement{worker: id, size: positive(a.Size)}
		r.attempts[a.ID] = p
		o.placed(r, a.ID, p)
	case p.status == "":
		o.placed(r, a.ID, p)
	}
}

// HandleResult takes a worker's answer to a command.
func (o *Owner) HandleResult(now time.Time, rackName, id string, c worker.Command, result worker.Result) {
	r, p := o.starting(rackName, id, c)
	if p == nil {
		return
	}
	if result.Refused != "" {
		reason := rack.ReasonWorkerRefused
		if result.Refused == worker.RefusedLeaving {
			reason = ReasonLeaving
		}
		o.giveBack(r, c.Attempt, reason)
		return
	}
	o.placed(r, c.Attempt, p)
	if p.early != nil {
		o.end(now, r, c.Attempt, p, *p.early)
	}
}

// HandleUnanswered notes that a worker restarted and may have started an attempt before.
func (o *Owner) HandleUnanswered(now time.Time, rackName, id string, c worker.Command) {
	if r, p := o.starting(rackName, id, c); p != nil {
		o.lost(now, r, c.Attempt, p)
	}
}

// starting returns the placement whose start a worker tells about.
func (o *Owner) starting(rackName, id string, c worker.Command) (*ownedRack, *placement) {
	r, m := o.workerOf(rackName, id)
	if m == nil || c.Verb != worker.Start {
		return nil, nil
	}
	p, ok := r.attempts[c.Attempt]
	if !ok || p.status != "" || p.worker != id {
		return nil, nil
	}
	return r, p
}

// HandleSilence notes that a worker does not answer. Once its leases have lapsed for
// certain, what ran there is lost. The caller makes sure that this host still
// owns the rack.
func (o *Owner) HandleSilence(now time.Time, rackName, id string, since time.Duration) {
	r, m := o.workerOf(rackName, id)
	if m == nil {
		return
	}
	if r.rack.State(id) != rack.Syncing {
		r.rack.SetState(id, rack.Silent)
	}
	if since <= worker.LapseLength || m.instance == 0 && !r.lapsed(now) {
		return
	}
	m.gone = true
	for _, attempt := range r.rack.Attempts(id) {
		if p := r.attempts[attempt]; p != nil && p.status != decision.Held {
			o.lost(now, r, attempt, p)
			continue
		}
		o.giveBack(r, attempt, rack.ReasonNoCapacity)
	}
}

// HandleFenced notes that a worker obeys another owner. What runs there is in that
// owner's care, so that nothing is said of it here.
func (o *Owner) HandleFenced(rackName, id string) {
	r, m := o.workerOf(rackName, id)
	if m == nil {
		return
	}
	m.synced = false
	r.rack.SetState(id, rack.Silent)
}

func (o *Owner) workerOf(rackName, id string) (*ownedRack, *ownedWorker) {
	r, ok := o.racks[rackName]
	if !ok {
		return nil, nil
	}
	return r, r.workers[id]
}

// positive returns a size without negative fields, which would add room.
func positive(s task.Size) task.Size {
	s.Processors = max(s.Processors, 0)
	s.Memory = max(s.Memory, 0)
	s.Accelerators = max(s.Accelerators, 0)
	s.Slots = max(s.Slots, 0)
	s.Connections = max(s.Connections, 0)
	return s
}

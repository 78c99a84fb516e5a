package decision

import (
	"maps"
	"slices"
	"time"
)

const (
	// reservationGracePeriod is how long after its expected end another member's
	// reservation is respected without a renewal.
	reservationGracePeriod = 10 * time.Second
	// reservationRenewInterval is how often an unchanged reservation is sent again.
	reservationRenewInterval = 4 * time.Second
)

// Reservation holds the workers that a member reserves for an all-at-once job.
type Reservation struct {
	// Since is when the job was first found not to fit, in nanoseconds of Unix
	// time. The older of two reservations takes precedence.
	Since int64 `cbor:"1,keyasint"`
	// Left is the time until the workers are expected to be free.
	Left time.Duration `cbor:"2,keyasint,omitempty"`
	// Racks is ordered by rack name.
	Racks []ReservedRack `cbor:"3,keyasint"`
}

// ReservedRack holds the reserved workers of one rack.
type ReservedRack struct {
	Rack string `cbor:"1,keyasint"`
	// Workers has one bit for each worker, in the order of the rack's digest.
	Workers uint64 `cbor:"2,keyasint"`
}

// peerReservation is a reservation of another member.
type peerReservation struct {
	since int64
	// freeAt is when the workers are expected to be free.
	freeAt time.Time
	// workers has one bit for each worker of a rack, by rack name.
	workers map[string]uint64
}

// covers reports whether a worker is reserved.
func (l *peerReservation) covers(v *view, i int) bool { return l.workers[v.digest.Rack]&(1<<i) != 0 }

// ownReservation returns the reservation of this member for its summary, or
// nil.
func (c *Core) ownReservation() *Reservation {
	r := c.reservation
	if r == nil {
		return nil
	}
	reserved := &Reservation{Since: r.job.blockedSince.UnixNano(), Left: max(0, r.shadowTime.Sub(c.now))}
	for _, v := range c.cell.views {
		workers := r.workers[v.digest.Rack]
		if len(workers) == 0 || len(reserved.Racks) == maxSummaryRacks {
			continue
		}
		rack := ReservedRack{Rack: v.digest.Rack}
		for i, w := range v.digest.Workers {
			if workers[w.ID] {
				rack.Workers |= 1 << i
			}
		}
		reserved.Racks = append(reserved.Racks, rack)
	}
	return reserved
}

// updatePeerReservation replaces a member's reservation by that in its latest
// summary; nil is none.
func (c *Core) updatePeerReservation(member string, r *Reservation) {
	p := &c.peers
	before := p.reservations[member]
	delete(p.reservations, member)
	if r != nil {
		l := &peerReservation{since: r.Since, freeAt: c.now.Add(r.Left), workers: map[string]uint64{}}
		for _, k := range r.Racks {
			l.workers[k.Rack] = k.Workers
		}
		if p.reservations == nil {
			p.reservations = map[string]*peerReservation{}
		}
		p.reservations[member] = l
	}
	if before != nil && (r == nil || !maps.Equal(before.workers, p.reservations[member].workers)) {
		c.unblock((*subqueue).awaitsCapacity)
	}
}

// expirePeerReservations drops the reservations that are past their grace
// period.
func (c *Core) expirePeerReservations() {
	before := len(c.peers.reservations)
	maps.DeleteFunc(c.peers.reservations, func(_ string, l *peerReservation) bool { return c.now.After(l.freeAt.Add(reservationGracePeriod)) })
	if len(c.peers.reservations) < before {
		c.unblock((*subqueue).awaitsCapacity)
	}
}

// peerReservationsFor returns the reservations of other members that a job
// respects.
// Urgent work, replacements and requests respect none. Batch and all-at-once
// jobs ignore a reservation if they end before its workers are expected to be
// free. The job that has this member's reservation also ignores younger ones.
func (c *Core) peerReservationsFor(j *job) []*peerReservation {
	k := j.class()
	if len(c.peers.reservations) == 0 || k < services {
		return nil
	}
	since := int64(-1)
	if r := c.reservation; r != nil && r.job == j {
		since = j.blockedSince.UnixNano()
	}
	runTime := c.runTimeBucket(j)
	var found []*peerReservation
	for _, member := range slices.Sorted(maps.Keys(c.peers.reservations)) {
		l := c.peers.reservations[member]
		endsBefore := k != services && runTime > 0 && !c.now.Add(runTime).After(l.freeAt)
		older := since >= 0 && since < l.since
		if !endsBefore && !older {
			found = append(found, l)
		}
	}
	return found
}

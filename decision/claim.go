package decision

import (
	"maps"
	"slices"
	"time"
)

const (
	// claimGracePeriod is how long after its expected end the reservation of another
	// member still counts, unless it is told anew.
	claimGracePeriod = 10 * time.Second
	// claimRenewInterval is the longest pause before a reservation that stands is told
	// anew.
	claimRenewInterval = 4 * time.Second
)

// Reservation is the workers that a member keeps for an all-at-once job.
type Reservation struct {
	// Since is when the job first had no room, in nanoseconds of Unix time. The
	// older one of two reservations goes first.
	Since int64 `cbor:"1,keyasint"`
	// Left is how long it is until the workers are expected to be free.
	Left time.Duration `cbor:"2,keyasint,omitempty"`
	// Racks is in order of name.
	Racks []ReservedRack `cbor:"3,keyasint"`
}

// ReservedRack is the reserved workers of one rack.
type ReservedRack struct {
	Rack string `cbor:"1,keyasint"`
	// Workers has a bit for each worker of the rack's digest, in its order.
	Workers uint64 `cbor:"2,keyasint"`
}

// claim is a reservation of another member.
type claim struct {
	since int64
	// freeAt is when the workers are expected to be free.
	freeAt time.Time
	// workers holds a bit for each worker of a rack, by rack.
	workers map[string]uint64
}

// covers reports whether a worker is reserved.
func (l *claim) covers(v *view, i int) bool { return l.workers[v.digest.Rack]&(1<<i) != 0 }

// ownReservation returns the reservation of this member, or nil.
func (c *Core) ownReservation() *Reservation {
	r := c.reservation
	if r == nil {
		return nil
	}
	told := &Reservation{Since: r.job.blockedSince.UnixNano(), Left: max(0, r.shadowTime.Sub(c.now))}
	for _, v := range c.cell.views {
		workers := r.workers[v.digest.Rack]
		if len(workers) == 0 || len(told.Racks) == maxSummaryRacks {
			continue
		}
		rack := ReservedRack{Rack: v.digest.Rack}
		for i, w := range v.digest.Workers {
			if workers[w.ID] {
				rack.Workers |= 1 << i
			}
		}
		told.Racks = append(told.Racks, rack)
	}
	return told
}

// updateClaim notes the reservation that a member tells of, or that it tells of none.
func (c *Core) updateClaim(member string, r *Reservation) {
	o := &c.peers
	before := o.claims[member]
	delete(o.claims, member)
	if r != nil {
		l := &claim{since: r.Since, freeAt: c.now.Add(r.Left), workers: map[string]uint64{}}
		for _, k := range r.Racks {
			l.workers[k.Rack] = k.Workers
		}
		if o.claims == nil {
			o.claims = map[string]*claim{}
		}
		o.claims[member] = l
	}
	if before != nil && (r == nil || !maps.Equal(before.workers, o.claims[member].workers)) {
		c.unblock((*subqueue).awaitsCapacity)
	}
}

// expireClaims drops the reservations that were not fulfilled in time.
func (c *Core) expireClaims() {
	before := len(c.peers.claims)
	maps.DeleteFunc(c.peers.claims, func(_ string, l *claim) bool { return c.now.After(l.freeAt.Add(claimGracePeriod)) })
	if len(c.peers.claims) < before {
		c.unblock((*subqueue).awaitsCapacity)
	}
}

// claimsAgainst returns the reservations of other members that a job respects: not those
// on whose workers it ends before they are expected to be free, and the job that
// workers are reserved for here only the older ones. Urgent work and requests
// respect none.
func (c *Core) claimsAgainst(j *job) []*claim {
	k := j.class()
	if len(c.peers.claims) == 0 || k < services {
		return nil
	}
	since := int64(-1)
	if r := c.reservation; r != nil && r.job == j {
		since = j.blockedSince.UnixNano()
	}
	span := c.runTimeBucket(j)
	var found []*claim
	for _, member := range slices.Sorted(maps.Keys(c.peers.claims)) {
		l := c.peers.claims[member]
		early := k != services && span > 0 && !c.now.Add(span).After(l.freeAt)
		older := since >= 0 && since < l.since
		if !early && !older {
			found = append(found, l)
		}
	}
	return found
}

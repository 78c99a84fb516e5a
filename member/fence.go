package member

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/tablestore"
)

// minLapsedReads is the number of looks that must have found a lease lapsed before
// it is fenced by a member that is not the first to do so. The first one may be lost
// too.
const minLapsedReads = 2

// Fence declares the members of this one's region failed whose leases have lapsed,
// and removes rows of members that are long gone. Members of other regions are left
// to those that could take over from them: where a region is cut off from the
// table nobody could, and its members go on once the cut heals. Fence reports
// whether it has fenced a member.
func (r *Roster) Fence(ctx context.Context, table tablestore.Table, self Member) (done bool, err error) {
	lapsed, gone := r.expired(self)
	for _, s := range lapsed {
		value, err := json.Marshal(s.member.WithState("Fenced"))
		if err != nil {
			return done, errors.Trace(err)
		}
		version, err := table.Put(ctx, KeyPrefix+s.member.ID, value, s.version)
		switch {
		case err == nil:
			r.recordFenced(s, version)
			done = true
		case !errors.Is(err, tablestore.ErrConflict):
			return done, errors.Annotatef(err, "fence of member %s", s.member.ID)
		}
	}
	for _, s := range gone {
		if err := table.Delete(ctx, KeyPrefix+s.member.ID, s.version); err != nil && !errors.Is(err, tablestore.ErrConflict) {
			return done, errors.Annotatef(err, "row of member %s", s.member.ID)
		}
	}
	return done, nil
}

// recordFenced notes at once that a member was fenced, so that what it owned is taken
// in the same round.
func (r *Roster) recordFenced(s observation, version tablestore.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.member = s.member.WithState("Fenced")
	s.version, s.changedAt, s.lapsedReads = version, time.Now(), 0
	r.observations[s.member.ID] = s
}

// expired returns the members of a region that one of them is to fence now, and
// those to remove.
func (r *Roster) expired(self Member) (lapsed, gone []observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.observations {
		switch {
		case s.member.Region != self.Region:
		case s.mayOwn() && s.lapsed(r.lastRead):
			if s.lapsedReads >= minLapsedReads || r.isFirstFencer(s.member, self) {
				lapsed = append(lapsed, s)
			}
		case !s.mayOwn() && r.lastRead.Sub(s.changedAt) > goneRetention:
			gone = append(gone, s)
		}
	}
	return lapsed, gone
}

// isFirstFencer reports whether a member is the one to fence another before the others do:
// the one of the highest hash among those of the region whose leases last, so that
// they do not all write one row. The caller holds r.mu.
func (r *Roster) isFirstFencer(lapsed, self Member) bool {
	weight := func(id string) uint64 { return xxhash.Sum64String(lapsed.ID + "\x00" + id) }
	for _, s := range r.observations {
		if s.member.Region == self.Region && s.mayOwn() && !s.lapsed(r.lastRead) && weight(s.member.ID) > weight(self.ID) {
			return false
		}
	}
	return true
}

// mayOwn reports whether the member may still own something.
func (s observation) mayOwn() bool { return s.member.State == "Active" || s.member.State == "Leaving" }

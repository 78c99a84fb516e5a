package member

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/tablestore"
)

// minLapsedReads is the number of reads that must find a lease lapsed before members
// other than its first fencer fence it, since the first fencer may have failed too.
const minLapsedReads = 2

// Fence marks the members of self's region whose leases have lapsed as fenced, and
// deletes the rows of members that have long been gone or fenced. Members of other
// regions are left to the members that could take over from them: if a region is
// partitioned from the table, nobody could, and its members continue once the
// partition ends. Fence reports whether it has fenced a member.
func (r *Roster) Fence(ctx context.Context, table tablestore.Table, self Member) (fenced bool, err error) {
	lapsed, removable := r.expired(self)
	for _, o := range lapsed {
		value, err := json.Marshal(o.member.WithState("Fenced"))
		if err != nil {
			return fenced, errors.Trace(err)
		}
		version, err := table.Put(ctx, KeyPrefix+o.member.ID, value, o.version)
		switch {
		case err == nil:
			r.recordFenced(o, version)
			fenced = true
		case !errors.Is(err, tablestore.ErrConflict):
			return fenced, errors.Annotatef(err, "fence member %s", o.member.ID)
		}
	}
	for _, o := range removable {
		if err := table.Delete(ctx, KeyPrefix+o.member.ID, o.version); err != nil && !errors.Is(err, tablestore.ErrConflict) {
			return fenced, errors.Annotatef(err, "delete row of member %s", o.member.ID)
		}
	}
	return fenced, nil
}

// recordFenced records a fenced member without waiting for the next Refresh, so that
// this host can take over what it owned in the same round.
func (r *Roster) recordFenced(o observation, version tablestore.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o.member = o.member.WithState("Fenced")
	o.version, o.changedAt, o.lapsedReads = version, time.Now(), 0
	r.observations[o.member.ID] = o
}

// expired returns the members of self's region that self should fence now, and those
// whose rows it should delete.
func (r *Roster) expired(self Member) (lapsed, removable []observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.observations {
		switch {
		case o.member.Region != self.Region:
		case o.mayOwn() && o.lapsed(r.lastReadAt):
			if o.lapsedReads >= minLapsedReads || r.isFirstFencer(o.member, self) {
				lapsed = append(lapsed, o)
			}
		case !o.mayOwn() && r.lastReadAt.Sub(o.changedAt) > goneRetention:
			removable = append(removable, o)
		}
	}
	return lapsed, removable
}

// isFirstFencer reports whether self is the first fencer of target: of the members of
// self's region with valid leases, the one with the highest hash for target. A single
// first fencer keeps the members from all writing the same row. The caller holds r.mu.
func (r *Roster) isFirstFencer(target, self Member) bool {
	weight := func(id string) uint64 { return xxhash.Sum64String(target.ID + "\x00" + id) }
	for _, o := range r.observations {
		if o.member.Region == self.Region && o.mayOwn() && !o.lapsed(r.lastReadAt) && weight(o.member.ID) > weight(self.ID) {
			return false
		}
	}
	return true
}

// mayOwn reports whether the member may still own partitions or racks.
func (o observation) mayOwn() bool { return o.member.State == "Active" || o.member.State == "Leaving" }

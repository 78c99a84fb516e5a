package member

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/tablestore"
)

// Limits of the roster.
const (
	// maxListedMembers bounds the members that one read returns.
	maxListedMembers = 5000
	// maxReadGap bounds the time between two reads of the rows. After a longer gap
	// every row counts as just changed: either the table was down, so that the members
	// could not write to it, or this host was paused.
	maxReadGap = LeaseDuration / 2
	// goneRetention is how long the row of a gone or fenced member is kept.
	goneRetention = 10 * time.Minute
)

// Roster is this host's view of all members. The zero value is empty. It is safe for
// concurrent use. While the rows can't be read the roster doesn't change: a lease
// counts as lapsed only if reads have found its row unchanged.
type Roster struct {
	mu           sync.Mutex
	observations map[string]observation
	// lastReadAt is the time of the last successful read.
	lastReadAt time.Time
}

// observation is a member's row, and when it was last found changed on this host's
// clock.
type observation struct {
	member    Member
	version   tablestore.Version
	changedAt time.Time
	// lapsedReads is the number of reads that found the lease lapsed.
	lapsedReads int
}

// Refresh reads the rows of all members. It skips rows that can't be decoded.
func (r *Roster) Refresh(ctx context.Context, table tablestore.Table) error {
	rows, err := table.List(ctx, KeyPrefix, "", maxListedMembers)
	if err != nil {
		return errors.Annotate(err, "list member rows")
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	stale := now.Sub(r.lastReadAt) > maxReadGap
	current := map[string]observation{}
	for _, row := range rows {
		m, err := Decode(row.Value)
		if err != nil {
			continue
		}
		o := observation{member: m, version: row.Version, changedAt: now}
		if previous, ok := r.observations[m.ID]; ok && previous.version == row.Version && !stale {
			o.changedAt, o.lapsedReads = previous.changedAt, previous.lapsedReads
		}
		if o.lapsed(now) {
			o.lapsedReads++
		}
		current[m.ID] = o
	}
	r.observations, r.lastReadAt = current, now
	return nil
}

// Lookup returns a member in any state.
func (r *Roster) Lookup(id string) (Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.observations[id]
	return o.member, ok
}

// Active returns the members with valid leases that aren't leaving, in order of ID.
func (r *Roster) Active() []Member {
	return r.filter(func(o observation) bool { return o.member.State == "Active" && !o.lapsed(r.lastReadAt) })
}

// PossibleOwners returns the members that may still own partitions or racks, in order
// of ID. It includes those that are leaving, and those whose leases have lapsed but
// that aren't fenced.
func (r *Roster) PossibleOwners() []Member {
	return r.filter(observation.mayOwn)
}

// NotGone returns the members that have not left, in order of ID. It includes fenced
// members, since a fenced member may not know yet that it is.
func (r *Roster) NotGone() []Member {
	return r.filter(func(o observation) bool { return o.member.State != "Gone" })
}

// Count returns the number of members that renew a lease or may renew it again.
func (r *Roster) Count() int {
	return len(r.filter(observation.mayOwn))
}

func (r *Roster) filter(include func(observation) bool) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var members []Member
	for _, o := range r.observations {
		if include(o) {
			members = append(members, o.member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return members
}

// MayOwn reports whether this instance of a member may still act as an owner.
func (r *Roster) MayOwn(id, instance string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.observations[id]
	if !ok || o.member.Instance != instance {
		return false
	}
	return o.mayOwn()
}

// lapsed reports whether the row did not change for its whole lease and DriftMargin, up
// to a read at the given time.
func (o observation) lapsed(readAt time.Time) bool {
	return readAt.Sub(o.changedAt) > o.member.Lease+DriftMargin
}

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
	// maxMembers is the most members that one read returns.
	maxMembers = 5000
	// maxReadGap is how long this host may not have read the rows without
	// starting over to count how long each has stood still: the members could
	// not write either while the table was down, or this host was paused.
	maxReadGap = LeaseDuration / 2
	// goneRetention is how long the row of a member that is gone is left.
	goneRetention = 10 * time.Minute
)

// Roster is what this host knows of all members. The zero value knows none. It
// is safe for concurrent use. While the rows can't be read it stays as it is:
// only what was seen to stand still counts as lapsed.
type Roster struct {
	mu           sync.Mutex
	observations map[string]observation
	// lastRead is when the rows were last read.
	lastRead time.Time
}

// observation is a member's row and when it last changed on this host's clock.
type observation struct {
	member    Member
	version   tablestore.Version
	changedAt time.Time
	// lapsedReads counts the reads that found the row lapsed.
	lapsedReads int
}

// Refresh reads the rows of all members. A row that can't be decoded is passed
// over.
func (r *Roster) Refresh(ctx context.Context, table tablestore.Table) error {
	rows, err := table.List(ctx, KeyPrefix, "", maxMembers)
	if err != nil {
		return errors.Annotate(err, "members")
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	blind := now.Sub(r.lastRead) > maxReadGap
	fresh := map[string]observation{}
	for _, row := range rows {
		m, err := Decode(row.Value)
		if err != nil {
			continue
		}
		s := observation{member: m, version: row.Version, changedAt: now}
		if old, ok := r.observations[m.ID]; ok && old.version == row.Version && !blind {
			s.changedAt, s.lapsedReads = old.changedAt, old.lapsedReads
		}
		if s.lapsed(now) {
			s.lapsedReads++
		}
		fresh[m.ID] = s
	}
	r.observations, r.lastRead = fresh, now
	return nil
}

// Lookup returns a member whatever its state.
func (r *Roster) Lookup(id string) (Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.observations[id]
	return s.member, ok
}

// Active returns the members that may own something, in order of ID.
func (r *Roster) Active() []Member {
	return r.filter(func(s observation) bool { return s.member.State == "Active" && !s.lapsed(r.lastRead) })
}

// PossibleOwners returns the members that may still own something, in order of ID.
func (r *Roster) PossibleOwners() []Member {
	return r.filter(observation.mayOwn)
}

// NotGone returns the members that have not left, in order of ID. One that was
// fenced may not know it yet.
func (r *Roster) NotGone() []Member {
	return r.filter(func(s observation) bool { return s.member.State != "Gone" })
}

// Count returns the number of members that renew a lease or may do so again.
func (r *Roster) Count() int {
	return len(r.filter(observation.mayOwn))
}

func (r *Roster) filter(keep func(observation) bool) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var members []Member
	for _, s := range r.observations {
		if keep(s) {
			members = append(members, s.member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return members
}

// MayOwn reports whether the instance of a member may still act as an owner.
func (r *Roster) MayOwn(id, instance string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.observations[id]
	if !ok || s.member.Instance != instance {
		return false
	}
	return s.mayOwn()
}

// lapsed reports whether the row stood still for its whole lease, as seen by
// reads up to the given time.
func (s observation) lapsed(read time.Time) bool {
	return read.Sub(s.changedAt) > s.member.Lease+DriftMargin
}

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
	// listLimit is the most members that one read returns.
	listLimit = 5000
	// blindLimit is how long this host may not have read the rows without
	// starting over to count how long each has stood still: the members could
	// not write either while the table was down, or this host was paused.
	blindLimit = LeaseLength / 2
	// goneKept is how long the row of a member that is gone is left.
	goneKept = 10 * time.Minute
)

// Roster is what this host knows of all members. The zero value knows none. It
// is safe for concurrent use. While the rows can't be read it stays as it is:
// only what was seen to stand still counts as lapsed.
type Roster struct {
	mu   sync.Mutex
	seen map[string]sighting
	// read is when the rows were last read.
	read time.Time
}

// sighting is a member's row and when it last changed on this host's clock.
type sighting struct {
	member  Member
	version tablestore.Version
	changed time.Time
	// looks counts the reads that found the row lapsed.
	looks int
}

// Refresh reads the rows of all members. A row that can't be decoded is passed
// over.
func (r *Roster) Refresh(ctx context.Context, table tablestore.Table) error {
	rows, err := table.List(ctx, Prefix, "", listLimit)
	if err != nil {
		return errors.Annotate(err, "members")
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	blind := now.Sub(r.read) > blindLimit
	fresh := map[string]sighting{}
	for _, row := range rows {
		m, err := Decode(row.Value)
		if err != nil {
			continue
		}
		s := sighting{member: m, version: row.Version, changed: now}
		if old, ok := r.seen[m.ID]; ok && old.version == row.Version && !blind {
			s.changed, s.looks = old.changed, old.looks
		}
		if s.lapsed(now) {
			s.looks++
		}
		fresh[m.ID] = s
	}
	r.seen, r.read = fresh, now
	return nil
}

// Lookup returns a member whatever its state.
func (r *Roster) Lookup(id string) (Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.seen[id]
	return s.member, ok
}

// Active returns the members that may own something, in order of ID.
func (r *Roster) Active() []Member {
	return r.filter(func(s sighting) bool { return s.member.State == "Active" && !s.lapsed(r.read) })
}

// Holding returns the members that may still own something, in order of ID.
func (r *Roster) Holding() []Member {
	return r.filter(sighting.holds)
}

// Known returns the members that have not left, in order of ID. One that was
// fenced may not know it yet.
func (r *Roster) Known() []Member {
	return r.filter(func(s sighting) bool { return s.member.State != "Gone" })
}

// Count returns the number of members that renew a lease or may do so again.
func (r *Roster) Count() int {
	return len(r.filter(sighting.holds))
}

func (r *Roster) filter(keep func(sighting) bool) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var members []Member
	for _, s := range r.seen {
		if keep(s) {
			members = append(members, s.member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return members
}

// Holds reports whether the instance of a member may still act as an owner.
func (r *Roster) Holds(id, instance string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.seen[id]
	if !ok || s.member.Instance != instance {
		return false
	}
	return s.holds()
}

// lapsed reports whether the row stood still for its whole lease, as seen by
// reads up to the given time.
func (s sighting) lapsed(read time.Time) bool {
	return read.Sub(s.changed) > s.member.Lease+DriftMargin
}

package decision

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// Bounds of summaries.
const (
	// summaryInterval is the minimum time between two summaries.
	summaryInterval = time.Second
	// shortageTimeout is how long work counts as short of capacity after it
	// last did not fit. It covers the usual backoff after a refusal.
	shortageTimeout = 2 * time.Second
	// maxSummaryNeeds, maxSummaryUses, maxSummaryBarred and maxSummaryRacks
	// bound the entries of a summary.
	maxSummaryNeeds  = 4
	maxSummaryUses   = 4
	maxSummaryBarred = 4
	maxSummaryRacks  = 16
)

// needKey identifies a need of a summary.
type needKey struct {
	class class
	team  *team
}

// shortage is work that had no capacity.
type shortage struct {
	// size is the size of the smallest task.
	size task.Size
	at   time.Time
	// refusals counts the refusals since a summary was last built.
	refusals int
}

// tickPeers sends a summary to the other members if it has changed, and
// refreshes what is derived from theirs.
func (c *Core) tickPeers() {
	p := &c.peers
	c.unblock(func(l *subqueue) bool { return l.cause == yielding })
	c.unreserveIfDone()
	c.expirePeerReservations()
	c.noteShortages()
	if c.now.Sub(p.comparedAt) < summaryInterval {
		return
	}
	p.comparedAt = c.now
	if len(p.summaries) > 0 {
		c.updateAvoided()
	}
	if len(p.needs) > 0 && c.now.Sub(p.levelsAt) >= summaryInterval {
		c.updateLevels()
	}
	s := c.buildSummary()
	p.expireShortages(c.now)
	renew := s.Reserved != nil && c.now.Sub(p.lastSentAt) >= reservationRenewInterval
	if s.sameAs(p.lastSummary) && !renew {
		return
	}
	p.lastSentAt = c.now
	s.Sequence = max(p.lastSummary.Sequence+1, uint64(c.now.UnixNano()))
	p.lastSummary = s
	c.emit(SendSummary{Summary: s})
}

// expireShortages drops the shortages that are past their timeout and resets
// the counts of the others.
func (p *peers) expireShortages(now time.Time) {
	for key, n := range p.shortages {
		if now.Sub(n.at) >= shortageTimeout {
			delete(p.shortages, key)
			continue
		}
		n.refusals = 0
		p.shortages[key] = n
	}
}

// noteShortages records the subqueues that wait for capacity now.
func (c *Core) noteShortages() {
	for k := range c.queues {
		for _, l := range c.queues[k].subqueues {
			if l.awaitsCapacity() {
				c.noteShortage(l.class, l.team, l.size, 0)
			}
		}
	}
}

// noteShortage records that work had no capacity. A shortage is kept for
// shortageTimeout, so that it also covers work that is refused repeatedly and is
// not queued in between.
func (c *Core) noteShortage(k class, t *team, size task.Size, refusals int) {
	key := needKey{class: k, team: t}
	known, ok := c.peers.shortages[key]
	if ok && known.size.DominantShare(c.cell.total) <= size.DominantShare(c.cell.total) {
		size = known.size
	}
	if c.peers.shortages == nil {
		c.peers.shortages = map[needKey]shortage{}
	}
	c.peers.shortages[key] = shortage{size: size, at: c.now, refusals: known.refusals + refusals}
}

// sameAs reports whether two summaries are equal except for their sequence.
func (s Summary) sameAs(o Summary) bool {
	return slices.Equal(s.Needs, o.Needs) && slices.Equal(s.Uses, o.Uses) && slices.Equal(s.Barred, o.Barred) &&
		s.Reserved.sameAs(o.Reserved)
}

// sameAs reports whether two reservations are of the same workers for the same
// job.
func (r *Reservation) sameAs(o *Reservation) bool {
	if r == nil || o == nil {
		return r == o
	}
	return r.Since == o.Since && slices.Equal(r.Racks, o.Racks)
}

func (c *Core) buildSummary() Summary {
	return Summary{Needs: c.needs(), Uses: c.teamUsages(), Barred: c.quarantinedNames(), Reserved: c.ownReservation()}
}

// needs returns the shortages of the neediest teams.
func (c *Core) needs() []Need {
	keys := slices.SortedFunc(maps.Keys(c.peers.shortages), func(a, b needKey) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.team.share, b.team.share), cmp.Compare(a.team.name, b.team.name))
	})
	var needs []Need
	for _, key := range keys[:min(len(keys), maxSummaryNeeds)] {
		needs = append(needs, Need{Team: key.team.name, Class: int(key.class), Size: c.peers.shortages[key].size,
			Used: int64(key.team.dominantShare(c.cell.total) * shareUnit), Tasks: max(1, key.team.queuedCount+c.peers.shortages[key].refusals)})
	}
	return needs
}

// teamUsages returns the usage of the teams with work at several members,
// limited to the teams that use the most.
func (c *Core) teamUsages() []TeamUsage {
	var uses []TeamUsage
	for _, t := range c.teams {
		if len(t.partitions) > 1 && !t.used.IsZero() {
			uses = append(uses, TeamUsage{Team: t.name, Used: t.used})
		}
	}
	slices.SortFunc(uses, func(a, b TeamUsage) int {
		return cmp.Or(cmp.Compare(b.Used.DominantShare(c.cell.total), a.Used.DominantShare(c.cell.total)), cmp.Compare(a.Team, b.Team))
	})
	uses = uses[:min(len(uses), maxSummaryUses)]
	slices.SortFunc(uses, func(a, b TeamUsage) int { return cmp.Compare(a.Team, b.Team) })
	return uses
}

func (c *Core) quarantinedNames() []string {
	var names []string
	for _, h := range c.quarantined {
		names = append(names, h.worker)
	}
	slices.Sort(names)
	return names[:min(len(names), maxSummaryBarred)]
}

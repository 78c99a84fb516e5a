package decision

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// peers is the state exchanged with the other members of the region. The zero
// value is that of a core that has received and sent nothing.
type peers struct {
	summaries map[string]Summary
	// needs holds the needs of all members, ordered by class, share and team.
	needs []peerNeed
	// levels is, for each class, the weighted share above which a team yields
	// to teams below it. It was computed at levelsAt.
	levels   [classCount]float64
	levelsAt time.Time
	// reservations holds the reservations of other members, by member.
	reservations map[string]*peerReservation
	// avoided holds workers in quarantine or on probation at other members.
	avoided map[string]bool
	// neededSizes is a buffer for the result of needierSizes, and neededTasks
	// the number of tasks that need these sizes.
	neededSizes []task.Size
	neededTasks int
	// shortages holds the work that recently had no capacity.
	shortages map[needKey]shortage
	// lastSummary is the summary last sent, at lastSentAt; comparedAt is when
	// it was last compared with the current state.
	lastSummary            Summary
	lastSentAt, comparedAt time.Time
}

// peerNeed is a need of another member.
type peerNeed struct {
	Need
	class class
	// share is the team's share divided by its weight.
	share float64
}

// receiveSummary applies a summary of another member, unless it is stale.
func (c *Core) receiveSummary(member string, s Summary) {
	p := &c.peers
	if known, ok := p.summaries[member]; ok && known.Sequence >= s.Sequence {
		return
	}
	if p.summaries == nil {
		p.summaries = map[string]Summary{}
	}
	p.summaries[member] = s
	c.updatePeerReservation(member, s.Reserved)
	c.applySummaries()
}

// forgetMember drops the state received from a member.
func (c *Core) forgetMember(member string) {
	if _, ok := c.peers.summaries[member]; ok {
		delete(c.peers.summaries, member)
		c.updatePeerReservation(member, nil)
		c.applySummaries()
	}
}

// applySummaries recomputes everything derived from the members' summaries.
func (c *Core) applySummaries() {
	c.collectPeerNeeds()
	c.sumPeerUsage()
	c.updateAvoided()
	c.updateLevels()
	c.unblock(func(l *subqueue) bool { return l.cause == yielding })
}

func (c *Core) collectPeerNeeds() {
	p := &c.peers
	p.needs = p.needs[:0]
	for _, member := range slices.Sorted(maps.Keys(p.summaries)) {
		for _, n := range p.summaries[member].Needs {
			if n.Class < 0 || n.Class >= int(classCount) || n.Tasks < 0 {
				continue
			}
			share := float64(n.Used) / shareUnit / c.teamWeight(n.Team)
			p.needs = append(p.needs, peerNeed{Need: n, class: class(n.Class), share: share})
		}
	}
	slices.SortStableFunc(p.needs, func(a, b peerNeed) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.share, b.share), cmp.Compare(a.Team, b.Team))
	})
}

// sumPeerUsage adds up the teams' usage at other members.
func (c *Core) sumPeerUsage() {
	for _, t := range c.teams {
		t.peerUsage = task.Size{}
	}
	for _, s := range c.peers.summaries {
		for _, u := range s.Uses {
			t := c.teamNamed(u.Team)
			t.peerUsage = t.peerUsage.Plus(u.Used)
		}
	}
	c.refreshShares()
}

// updateAvoided closes the workers that are quarantined at other members, as
// far as maxQuarantinedPercent allows. A worker that this member has
// quarantined itself is not avoided: otherwise two members might each leave its
// probation to the other for ever.
func (c *Core) updateAvoided() {
	p := &c.peers
	before := p.avoided
	p.avoided = nil
	limit := max(100, c.cell.workerCount()*maxQuarantinedPercent)/100 - len(c.quarantined)
	for _, member := range slices.Sorted(maps.Keys(p.summaries)) {
		for _, worker := range p.summaries[member].Barred {
			if h := c.health[worker]; h != nil && h.condition != healthy || len(p.avoided) >= limit {
				continue
			}
			if p.avoided == nil {
				p.avoided = map[string]bool{}
			}
			p.avoided[worker] = true
		}
	}
	if maps.Equal(before, p.avoided) {
		return
	}
	for _, v := range c.cell.views {
		c.applyAvoided(v)
		c.unblockFitting(v)
	}
}

// closedWorkers returns the workers of a rack that are closed because too many
// attempts failed on them, in the order of the digest.
func (c *Core) closedWorkers(rack string) []string {
	v := c.cell.viewByName(rack)
	if v == nil || len(v.closed)+len(v.avoided) == 0 {
		return nil
	}
	var names []string
	for _, w := range v.digest.Workers {
		if v.closed[w.ID] || v.avoided[w.ID] {
			names = append(names, w.ID)
		}
	}
	return names
}

// applyAvoided closes the avoided workers of a rack and reopens the others.
func (c *Core) applyAvoided(v *view) {
	if len(v.avoided) == 0 && len(c.peers.avoided) == 0 {
		return
	}
	v.avoided = nil
	for _, w := range v.digest.Workers {
		if !c.peers.avoided[w.ID] {
			continue
		}
		if v.avoided == nil {
			v.avoided = map[string]bool{}
		}
		v.avoided[w.ID] = true
	}
	v.updateMaxFree()
}

package decision

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// peers is what the other members of the region have told. The zero value is a
// member that has heard nothing.
type peers struct {
	summaries map[string]Summary
	// needs holds those of all members, in order of class and share.
	needs []peerNeed
	// levels is the share by weight above which a team leaves room to others that
	// are below; it was worked out at levelled.
	levels   [classCount]float64
	levelsAt time.Time
	// claims are the reservations of other members.
	claims map[string]*claim
	// avoided are workers that other members have barred.
	avoided map[string]bool
	// neededSizes is the result of needier, and left the number of tasks of these sizes.
	neededSizes []task.Size
	neededTasks int
	// shortages holds the work that had no room of late.
	shortages map[needKey]shortage
	// lastSummary is the summary that the others know since toldAt, and looked when it was
	// last compared with what there is.
	lastSummary            Summary
	lastSentAt, comparedAt time.Time
}

// peerNeed is a need of another member.
type peerNeed struct {
	Need
	class class
	// share is what the team uses, by weight.
	share float64
}

// receiveSummary takes a summary of another member, unless it is older than one that is
// known.
func (c *Core) receiveSummary(member string, s Summary) {
	o := &c.peers
	if known, ok := o.summaries[member]; ok && known.Sequence >= s.Sequence {
		return
	}
	if o.summaries == nil {
		o.summaries = map[string]Summary{}
	}
	o.summaries[member] = s
	c.updateClaim(member, s.Reserved)
	c.applySummaries()
}

// forgetMember forgets what a member has told.
func (c *Core) forgetMember(member string) {
	if _, ok := c.peers.summaries[member]; ok {
		delete(c.peers.summaries, member)
		c.updateClaim(member, nil)
		c.applySummaries()
	}
}

// applySummaries works out what follows from all that was told.
func (c *Core) applySummaries() {
	c.collectPeerNeeds()
	c.sumPeerUsage()
	c.updateAvoided()
	c.updateLevels()
	c.unblock(func(l *subqueue) bool { return l.cause == yielding })
}

func (c *Core) collectPeerNeeds() {
	o := &c.peers
	o.needs = o.needs[:0]
	for _, member := range slices.Sorted(maps.Keys(o.summaries)) {
		for _, n := range o.summaries[member].Needs {
			if n.Class < 0 || n.Class >= int(classCount) || n.Tasks < 0 {
				continue
			}
			share := float64(n.Used) / shareUnit / c.teamWeight(n.Team)
			o.needs = append(o.needs, peerNeed{Need: n, class: class(n.Class), share: share})
		}
	}
	slices.SortStableFunc(o.needs, func(a, b peerNeed) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.share, b.share), cmp.Compare(a.Team, b.Team))
	})
}

// sumPeerUsage adds up what teams use at other members.
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

// updateAvoided closes the workers that other members have barred, within the same bound
// as those of this one. Who has barred a worker itself tries it itself, so that
// two members do not leave the trial to one another for ever.
func (c *Core) updateAvoided() {
	o := &c.peers
	before := o.avoided
	o.avoided = nil
	room := max(100, c.cell.workerCount()*maxQuarantinedPercent)/100 - len(c.quarantined)
	for _, member := range slices.Sorted(maps.Keys(o.summaries)) {
		for _, worker := range o.summaries[member].Barred {
			if h := c.health[worker]; h != nil && h.condition != healthy || len(o.avoided) >= room {
				continue
			}
			if o.avoided == nil {
				o.avoided = map[string]bool{}
			}
			o.avoided[worker] = true
		}
	}
	if maps.Equal(before, o.avoided) {
		return
	}
	for _, v := range c.cell.views {
		c.applyAvoided(v)
		c.unblockFitting(v)
	}
}

// closedWorkers returns the workers of a rack that are closed because they failed too
// much, in order.
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

// applyAvoided closes those workers of a rack that are avoided, and opens the others.
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

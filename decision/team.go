package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// team is the core's state of one team.
type team struct {
	name string
	// quota bounds the team's usage at all members; a zero field is no limit.
	quota task.Size
	// partitions are those of the team's work; empty stands for a single one.
	partitions []string
	// allotments holds the parts of the quota by partition.
	allotments map[string]*allotment
	// weight is at least 1.
	weight int
	// used is the sum of the sizes of the charged attempts.
	used task.Size
	// peerUsage is the usage of the team's attempts at other members.
	peerUsage task.Size
	// share is the dominant share of the cell of used plus peerUsage, divided
	// by weight.
	share float64
	// submittedAt is when work of the team was last admitted.
	submittedAt time.Time
	// queuedCount is the number of queued jobs, and queuedByClass that of each
	// class.
	queuedCount   int
	queuedByClass [classCount]int
	// retriesLeft is what is left of the retry budget.
	retriesLeft float64
}

// The retry budget of a team: each retry after an error of the work itself
// costs one, and each success refills a fraction. With an empty budget, retries
// wait for maxFailureBackoff.
const (
	retryBudget        = 100
	retryRefill        = 0.2
	exhaustedRetryWait = maxFailureBackoff
)

// takeRetry takes one retry from the budget and reports whether there was one.
func (t *team) takeRetry() bool {
	if t.retriesLeft < 1 {
		return false
	}
	t.retriesLeft--
	return true
}

func (t *team) refillRetries() { t.retriesLeft = min(t.retriesLeft+retryRefill, retryBudget) }

func (c *Core) teamNamed(name string) *team {
	t, ok := c.teams[name]
	if !ok {
		t = &team{name: name, weight: 1, retriesLeft: retryBudget}
		c.teams[name] = t
	}
	return t
}

// setTeams applies the operators' settings. A team that is no longer listed has
// no quota.
func (c *Core) setTeams(teams []Team) {
	for _, t := range c.teams {
		t.quota, t.partitions, t.weight = task.Size{}, nil, 1
	}
	for _, settings := range teams {
		t := c.teamNamed(settings.Name)
		t.quota, t.partitions, t.weight = settings.Quota, settings.Partitions, max(1, settings.Weight)
	}
	c.refreshShares()
	c.reassignAllotments()
	c.unblock(func(l *subqueue) bool { return l.cause == noQuota })
}

// refreshShares recomputes all shares after the cell or the teams changed.
func (c *Core) refreshShares() {
	for _, t := range c.teams {
		t.refreshShare(c.cell.total)
	}
}

func (t *team) refreshShare(total task.Size) {
	t.share = t.dominantShare(total) / float64(t.weight)
}

// dominantShare returns the dominant share of the cell that the team's attempts
// use.
func (t *team) dominantShare(total task.Size) float64 {
	return t.used.Plus(t.peerUsage).DominantShare(total)
}

// charge adds the attempt of task i to the usage of its team.
func (c *Core) charge(j *job, i int) {
	a := &j.tasks[i]
	if a.charged {
		return
	}
	a.charged = true
	j.team.used = j.team.used.Plus(a.size)
	j.allotment.used = j.allotment.used.Plus(a.size)
	j.team.refreshShare(c.cell.total)
}

// uncharge removes the attempt of task i from the usage of its team and reports
// whether it was charged.
func (c *Core) uncharge(j *job, i int) bool {
	a := &j.tasks[i]
	if !a.charged {
		return false
	}
	a.charged = false
	c.removeVictim(j, i)
	c.endProbe(a.worker)
	j.team.used = j.team.used.Minus(a.size)
	j.allotment.used = j.allotment.used.Minus(a.size)
	j.team.refreshShare(c.cell.total)
	return true
}

// release uncharges an attempt that has ended. Capacity requested for it
// without an answer is free again, and subqueues that wait for the capacity or
// the quota become ready.
func (c *Core) release(j *job, i int) {
	a := &j.tasks[i]
	if !c.uncharge(j, i) {
		return
	}
	if v := c.cell.viewByName(a.rack); v != nil && v.cancelDebit(j.attemptID(i)) {
		c.unblockFitting(v)
	}
	if !j.team.quota.IsZero() {
		c.unblock(func(l *subqueue) bool { return l.cause == noQuota && l.allotment == j.allotment })
	}
}

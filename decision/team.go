package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// team is what the core knows of one team.
type team struct {
	name string
	// quota bounds what the team uses at all members; a zero field is no limit.
	quota task.Size
	// partitions hold the team's work; empty is one.
	partitions []string
	// allotments are the parts of the quota by partition.
	allotments map[string]*allotment
	// weight is at least 1.
	weight int
	// used is the sum of the sizes of the attempts that may run.
	used task.Size
	// peerUsage is what the team's attempts take at other members.
	peerUsage task.Size
	// share is the dominant share of the cell that used and elsewhere are, by
	// weight.
	share float64
	// submittedAt is when work of the team last came.
	submittedAt time.Time
	// queuedCount counts the jobs in the queue, and waitingClass those of each class.
	queuedCount   int
	queuedByClass [classCount]int
	// retriesLeft is what is left of the budget of retries.
	retriesLeft float64
}

// The budget of a team's retries: each retry after an error of the work itself
// takes one, each success gives a part back. Without a rest, retries wait for
// failurePauseLimit.
const (
	retryBudget        = 100
	retryRefill        = 0.2
	exhaustedRetryWait = maxFailureBackoff
)

// takeRetry takes one retry out of the budget and reports whether there was one.
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

// setTeams takes what operators set. A team that is no longer listed has no
// quota.
func (c *Core) setTeams(teams []Team) {
	for _, t := range c.teams {
		t.quota, t.partitions, t.weight = task.Size{}, nil, 1
	}
	for _, set := range teams {
		t := c.teamNamed(set.Name)
		t.quota, t.partitions, t.weight = set.Quota, set.Partitions, max(1, set.Weight)
	}
	c.refreshShares()
	c.reassignAllotments()
	c.unblock(func(l *subqueue) bool { return l.cause == noQuota })
}

// refreshShares works out all shares after the cell or the teams changed.
func (c *Core) refreshShares() {
	for _, t := range c.teams {
		t.refreshShare(c.cell.total)
	}
}

func (t *team) refreshShare(total task.Size) {
	t.share = t.dominantShare(total) / float64(t.weight)
}

// dominantShare returns the dominant share of the cell that the team's attempts take.
func (t *team) dominantShare(total task.Size) float64 {
	return t.used.Plus(t.peerUsage).DominantShare(total)
}

// charge counts the attempt of task i as used by its team.
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

// uncharge gives back what the attempt of task i took of the team's quota, and
// reports whether it took any.
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

// release is uncharge for an attempt that has ended: the room that was asked
// for it and not answered is free, and what waits for the room or the quota is
// looked at again.
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

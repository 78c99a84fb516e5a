package decision

import (
	"math"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// Bounds of what a team above its share leaves to others.
const (
	// fairInterval is how often the teams that share the cell are counted.
	fairInterval = 100 * time.Millisecond
	// teamActiveTime is how long a team counts as one that shares the cell after its
	// last submission.
	teamActiveTime = time.Minute
	// maxShareFactor is how many times an equal share a team may use, up to fairMost
	// of the cell, before it leaves spare room to others.
	maxShareFactor = 3
	maxShare       = 0.5
	// spareDivisor is the divisor of each capacity that gives the spare room.
	spareDivisor = 8
)

// fairShare tells which teams are above their share of the cell. Such a team leaves
// spare room on each worker and in each region, so that work of the others
// starts at once.
type fairShare struct {
	// totalWeight is the sum over the teams that share the cell; 0 if fewer than two of
	// them ask for room, and none is above its share then.
	totalWeight int
	// overShare are the teams that were above their share when counted.
	overShare []*team
	// countedAt is when the teams were last counted.
	countedAt time.Time
}

// updateFairShare counts the teams that have work or had some lately. Where only one of
// them has work that waits or that came lately, spare room would be for nobody.
func (c *Core) updateFairShare() {
	if c.now.Sub(c.fairShare.countedAt) < fairInterval {
		return
	}
	c.fairShare.countedAt = c.now
	before := c.fairShare.totalWeight
	weight, asking := 0, 0
	for _, t := range c.teams {
		if t.hasDemand(c.now) {
			asking++
		}
		if t.isActive(c.now) {
			weight += t.weight
		}
	}
	if asking < 2 {
		weight = 0
	}
	c.fairShare.totalWeight = weight
	c.updateOverShare()
	if weight < before {
		c.unblock((*subqueue).awaitsCapacity)
	}
}

// isActive reports whether a team has work or had some lately.
func (t *team) isActive(now time.Time) bool {
	return t.hasDemand(now) || !t.used.IsZero() || !t.peerUsage.IsZero()
}

// hasDemand reports whether a team has work that waits or that came lately.
func (t *team) hasDemand(now time.Time) bool {
	return t.queuedCount > 0 || now.Sub(t.submittedAt) < teamActiveTime
}

// overShare reports whether a team uses so much more than an equal share by weight
// that it leaves spare room to others.
func (c *Core) overShare(t *team) bool {
	if c.fairShare.totalWeight == 0 {
		return false
	}
	equal := float64(t.weight) / float64(c.fairShare.totalWeight)
	return t.share*float64(t.weight) > min(maxShareFactor*equal, max(equal, maxShare))
}

// updateOverShare lists the teams above their share.
func (c *Core) updateOverShare() {
	c.fairShare.overShare = c.fairShare.overShare[:0]
	for _, t := range c.teams {
		if c.overShare(t) {
			c.fairShare.overShare = append(c.fairShare.overShare, t)
		}
	}
}

// competingJobs counts the jobs of a class that wait for the same room as a team:
// without those of teams above their share, which leave spare room to it, unless
// it is above its share too.
func (c *Core) competingJobs(k class, t *team) int {
	n := c.queuedByClass[k]
	if c.overShare(t) {
		return n
	}
	for _, o := range c.fairShare.overShare {
		if c.overShare(o) {
			n -= o.queuedByClass[k]
		}
	}
	return n
}

// spareTasks returns how many tasks of a size each region takes from a team above
// its share.
func (c *Core) spareTasks(size task.Size) map[string]int {
	left, total := map[string]task.Size{}, map[string]task.Size{}
	for _, v := range c.cell.views {
		region := v.digest.Region
		left[region] = left[region].Plus(v.totalFree())
		total[region] = total[region].Plus(v.capacity)
	}
	n := map[string]int{}
	for region, t := range total {
		n[region] = fitCount(size, withoutSpare(left[region], size, t), math.MaxInt32)
	}
	return n
}

// withoutSpare returns what a team above its share may use of free room. A task
// that would not fit beside the spare room may use all of it.
func withoutSpare(free, size, capacity task.Size) task.Size {
	part := func(a, s, w int64) int64 {
		if spare := w / spareDivisor; s > 0 && s <= w-spare {
			return a - spare
		}
		return a
	}
	return task.Size{
		Processors:   part(free.Processors, size.Processors, capacity.Processors),
		Memory:       part(free.Memory, size.Memory, capacity.Memory),
		Accelerators: part(free.Accelerators, size.Accelerators, capacity.Accelerators),
		Slots:        part(free.Slots, size.Slots, capacity.Slots),
		Connections:  part(free.Connections, size.Connections, capacity.Connections),
	}
}

package decision

import (
	"math"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// Bounds of what a team over its share leaves to others.
const (
	// fairInterval is how often the active teams are counted.
	fairInterval = 100 * time.Millisecond
	// teamActiveTime is how long a team counts as active after its last
	// submission.
	teamActiveTime = time.Minute
	// maxShareFactor is how many times an equal share a team may use, up to
	// maxShare of the cell, before it must leave spare capacity to others.
	maxShareFactor = 3
	maxShare       = 0.5
	// spareDivisor divides each capacity to give its spare part.
	spareDivisor = 8
)

// fairShare tells which teams are over their share of the cell. Such a team
// leaves spare capacity on each worker and in each region, so that work of
// other teams starts at once.
type fairShare struct {
	// totalWeight is the summed weight of the active teams. It is 0 if fewer
	// than two teams have demand; then no team is over its share.
	totalWeight int
	// overShare holds the teams that were over their share at countedAt.
	overShare []*team
	// countedAt is when the active teams were last counted.
	countedAt time.Time
}

// updateFairShare counts the active teams. If fewer than two have demand, no
// spare capacity is kept, as nobody would use it.
func (c *Core) updateFairShare() {
	if c.now.Sub(c.fairShare.countedAt) < fairInterval {
		return
	}
	c.fairShare.countedAt = c.now
	before := c.fairShare.totalWeight
	weight, demanding := 0, 0
	for _, t := range c.teams {
		if t.hasDemand(c.now) {
			demanding++
		}
		if t.isActive(c.now) {
			weight += t.weight
		}
	}
	if demanding < 2 {
		weight = 0
	}
	c.fairShare.totalWeight = weight
	c.updateOverShare()
	if weight < before {
		c.unblock((*subqueue).awaitsCapacity)
	}
}

// isActive reports whether a team has work or recently had some.
func (t *team) isActive(now time.Time) bool {
	return t.hasDemand(now) || !t.used.IsZero() || !t.peerUsage.IsZero()
}

// hasDemand reports whether a team has queued work or recently submitted some.
func (t *team) hasDemand(now time.Time) bool {
	return t.queuedCount > 0 || now.Sub(t.submittedAt) < teamActiveTime
}

// overShare reports whether a team uses so much more than its equal share by
// weight that it must leave spare capacity to others.
func (c *Core) overShare(t *team) bool {
	if c.fairShare.totalWeight == 0 {
		return false
	}
	equal := float64(t.weight) / float64(c.fairShare.totalWeight)
	return t.share*float64(t.weight) > min(maxShareFactor*equal, max(equal, maxShare))
}

// updateOverShare lists the teams over their share.
func (c *Core) updateOverShare() {
	c.fairShare.overShare = c.fairShare.overShare[:0]
	for _, t := range c.teams {
		if c.overShare(t) {
			c.fairShare.overShare = append(c.fairShare.overShare, t)
		}
	}
}

// competingJobs counts the queued jobs of a class that compete with a team. Jobs
// of teams over their share are not counted, since those teams leave spare
// capacity to it, unless it is over its share too.
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

// spareTasks returns how many more tasks of a size a team over its share may
// start in each region.
func (c *Core) spareTasks(size task.Size) map[string]int {
	free, total := map[string]task.Size{}, map[string]task.Size{}
	for _, v := range c.cell.views {
		region := v.digest.Region
		free[region] = free[region].Plus(v.totalFree())
		total[region] = total[region].Plus(v.capacity)
	}
	n := map[string]int{}
	for region, t := range total {
		n[region] = fitCount(size, withoutSpare(free[region], size, t), math.MaxInt32)
	}
	return n
}

// withoutSpare returns the part of free capacity that a team over its share may
// use. A task that would not fit beside the spare capacity may use all of it.
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

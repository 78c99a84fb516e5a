package decision

import (
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// Bounds of how long room is kept for other members.
const (
	// yieldTime is how long room that has grown is kept for needier work of other
	// members. Members of a region hear of it within 20 ms.
	yieldTime = 200 * time.Millisecond
	// yieldPause is the least time from the end of keepTime to the next one on the
	// same worker, so that room that nobody takes is open to all at some ticks.
	yieldPause = 250 * time.Millisecond
	// maxNeededSizes bounds the sizes that are kept room for at once.
	maxNeededSizes = 8
)

// capacityFilter tells which room a job may use.
type capacityFilter struct {
	// mayUseReserved tells that workers reserved for an all-at-once job may be used.
	mayUseReserved bool
	// neededSizes are sizes of needier work of other members: fresh room that one of
	// them fits is left to it.
	neededSizes []task.Size
	// neededTasks is the number of workers whose fresh room is kept; each that is passed
	// over counts.
	neededTasks *int
	// claims are reservations of other members that the job respects.
	claims []*claim
	// spareTasks is nil unless the job's team is above its share: then it is the number
	// of tasks of size that each region takes.
	spareTasks map[string]int
	size       task.Size
	now        time.Time
}

// capacityFilterFor returns which room a job may use. It is valid until the next call.
func (c *Core) capacityFilterFor(j *job) capacityFilter {
	r := capacityFilter{mayUseReserved: c.mayBackfill(j), neededSizes: c.needierSizes(j), neededTasks: &c.peers.neededTasks, claims: c.claimsAgainst(j), now: c.now}
	if c.overShare(j.team) {
		r.size, r.spareTasks = j.size, c.spareTasks(j.size)
	}
	return r
}

// usable returns what the job may use of what a worker has left.
func (r capacityFilter) usable(v *view, i int) task.Size {
	if r.spareTasks == nil {
		return v.free[i]
	}
	return withoutSpare(v.free[i], r.size, v.digest.Workers[i].Capacity)
}

// takeSpare notes that the job takes room in a region, and reports whether there was
// any for it.
func (r capacityFilter) takeSpare(v *view) bool {
	if r.spareTasks == nil {
		return true
	}
	r.spareTasks[v.digest.Region]--
	return r.spareTasks[v.digest.Region] >= 0
}

// allows reports whether the room of a worker may be used.
func (r capacityFilter) allows(v *view, i int) bool {
	if !v.accepting(i) || !r.mayUseReserved && v.reserved[v.digest.Workers[i].ID] {
		return false
	}
	if r.spareTasks != nil && (r.spareTasks[v.digest.Region] <= 0 || !r.size.Fits(r.usable(v, i))) {
		return false
	}
	if slices.ContainsFunc(r.claims, func(l *claim) bool { return l.covers(v, i) }) {
		return false
	}
	if len(r.neededSizes) == 0 || r.now.UnixNano()-v.grownAt[i] >= int64(yieldTime) {
		return true
	}
	if *r.neededTasks == 0 || !slices.ContainsFunc(r.neededSizes, func(s task.Size) bool { return s.Fits(v.free[i]) }) {
		return true
	}
	*r.neededTasks--
	return false
}

// noteGrowth notes which workers have more room than before. A view whose workers
// were others before counts as it is.
func (v *view) noteGrowth(before []task.Size, now time.Time) {
	if len(before) != len(v.free) {
		return
	}
	for i, free := range v.free {
		if !free.Fits(before[i]) {
			v.noteWorkerGrowth(i, now)
		}
	}
}

// noteWorkerGrowth notes that a worker has more room, unless its room was kept a short time
// ago.
func (v *view) noteWorkerGrowth(i int, now time.Time) {
	if now.UnixNano()-v.grownAt[i] >= int64(yieldTime+yieldPause) {
		v.grownAt[i] = now.UnixNano()
	}
}

// needierSizes returns the sizes of work of other members that goes before a job: of
// a more urgent class, or of a team below its level where the job's team is above.
func (c *Core) needierSizes(j *job) []task.Size {
	o := &c.peers
	o.neededSizes, o.neededTasks = o.neededSizes[:0], 0
	if c.reservation != nil && c.reservation.job == j {
		// It needs all its workers at once.
		return nil
	}
	k := j.class()
	for _, n := range o.needs {
		if n.class > k || len(o.neededSizes) == maxNeededSizes {
			break
		}
		if n.class == k && (n.share >= o.levels[k] || j.team.share <= o.levels[k]) || n.Team == j.team.name {
			continue
		}
		o.neededTasks += n.Tasks
		fitsToo := func(s task.Size) bool { return s.Fits(n.Size) }
		if !slices.ContainsFunc(o.neededSizes, fitsToo) {
			o.neededSizes = append(o.neededSizes, n.Size)
		}
	}
	return o.neededSizes
}

// mustYield reports whether a job leaves room to other members.
func (c *Core) mustYield(j *job) bool { return len(c.needierSizes(j)) > 0 }

// updateLevels works out for each class what share by weight each team would have
// if what the teams use that have no room were divided anew. A level stands for a
// while, so that two members that hear of one another late do not yield to one
// another in turn.
func (c *Core) updateLevels() {
	o := &c.peers
	o.levelsAt = c.now
	for k := range o.levels {
		o.levels[k] = c.shareLevel(class(k))
	}
}

func (c *Core) shareLevel(k class) float64 {
	contenders := map[string]bool{}
	used, weight := 0.0, 0.0
	add := func(team string, part, w float64) {
		if !contenders[team] {
			contenders[team] = true
			used += part
			weight += w
		}
	}
	for _, n := range c.peers.needs {
		if n.class == k {
			add(n.Team, float64(n.Used)/shareUnit, c.teamWeight(n.Team))
		}
	}
	if len(contenders) == 0 {
		return maxLevel
	}
	for _, l := range c.queues[k].subqueues {
		if l.cause != noQuota {
			add(l.team.name, l.team.dominantShare(c.cell.total), float64(l.team.weight))
		}
	}
	return used / weight
}

func (c *Core) teamWeight(team string) float64 {
	if t, ok := c.teams[team]; ok {
		return float64(t.weight)
	}
	return 1
}

// maxLevel is above the share of every team.
const maxLevel = 1e9

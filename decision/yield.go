package decision

import (
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// Bounds of yielding to other members.
const (
	// yieldTime is how long newly free capacity is kept for needier work of
	// other members, which learn of it within 20 ms.
	yieldTime = 200 * time.Millisecond
	// yieldPause is the minimum time from the end of a yieldTime to the start
	// of the next one on the same worker, so that unused capacity is open to
	// all work at some ticks.
	yieldPause = 250 * time.Millisecond
	// maxNeededSizes bounds the number of sizes for which capacity is kept at
	// once.
	maxNeededSizes = 8
)

// capacityFilter tells which free capacity a job may use.
type capacityFilter struct {
	// mayUseReserved reports whether workers reserved for a gang may be used.
	mayUseReserved bool
	// neededSizes holds sizes of needier work of other members; newly free
	// capacity in which one of them fits is left to it.
	neededSizes []task.Size
	// neededTasks is the number of workers still to be left to that work; each
	// worker passed over reduces it.
	neededTasks *int
	// peerReservations holds the reservations of other members that the job
	// respects.
	peerReservations []*peerReservation
	// spareTasks is nil unless the job's team is over its share; then it is the
	// number of tasks of size that may still start in each region.
	spareTasks map[string]int
	size       task.Size
	now        time.Time
}

// capacityFilterFor returns the filter for a job. It is valid until the next
// call.
func (c *Core) capacityFilterFor(j *job) capacityFilter {
	f := capacityFilter{mayUseReserved: c.mayBackfill(j), neededSizes: c.needierSizes(j), neededTasks: &c.peers.neededTasks, peerReservations: c.peerReservationsFor(j), now: c.now}
	if c.overShare(j.team) {
		f.size, f.spareTasks = j.size, c.spareTasks(j.size)
	}
	return f
}

// usable returns the free capacity of a worker that the job may use.
func (f capacityFilter) usable(v *view, i int) task.Size {
	if f.spareTasks == nil {
		return v.free[i]
	}
	return withoutSpare(v.free[i], f.size, v.digest.Workers[i].Capacity)
}

// takeSpare uses up one of the region's spareTasks and reports whether there
// was one. Without that limit it returns true.
func (f capacityFilter) takeSpare(v *view) bool {
	if f.spareTasks == nil {
		return true
	}
	f.spareTasks[v.digest.Region]--
	return f.spareTasks[v.digest.Region] >= 0
}

// allows reports whether the job may use the free capacity of a worker.
func (f capacityFilter) allows(v *view, i int) bool {
	if !v.accepting(i) || !f.mayUseReserved && v.reserved[v.digest.Workers[i].ID] {
		return false
	}
	if f.spareTasks != nil && (f.spareTasks[v.digest.Region] <= 0 || !f.size.Fits(f.usable(v, i))) {
		return false
	}
	if slices.ContainsFunc(f.peerReservations, func(l *peerReservation) bool { return l.covers(v, i) }) {
		return false
	}
	if len(f.neededSizes) == 0 || f.now.UnixNano()-v.grownAt[i] >= int64(yieldTime) {
		return true
	}
	if *f.neededTasks == 0 || !slices.ContainsFunc(f.neededSizes, func(s task.Size) bool { return s.Fits(v.free[i]) }) {
		return true
	}
	*f.neededTasks--
	return false
}

// noteGrowth records which workers have more free capacity than before. It does
// nothing if the number of workers changed.
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

// noteWorkerGrowth records that a worker has more free capacity, unless its
// capacity was kept for other members a short time ago.
func (v *view) noteWorkerGrowth(i int, now time.Time) {
	if now.UnixNano()-v.grownAt[i] >= int64(yieldTime+yieldPause) {
		v.grownAt[i] = now.UnixNano()
	}
}

// needierSizes returns the sizes of work of other members that goes before a
// job: work of a more urgent class, or of the same class and a team below the
// level if the job's team is above it.
func (c *Core) needierSizes(j *job) []task.Size {
	p := &c.peers
	p.neededSizes, p.neededTasks = p.neededSizes[:0], 0
	if c.reservation != nil && c.reservation.job == j {
		// The gang needs all its workers at once.
		return nil
	}
	k := j.class()
	for _, n := range p.needs {
		if n.class > k || len(p.neededSizes) == maxNeededSizes {
			break
		}
		if n.class == k && (n.share >= p.levels[k] || j.team.share <= p.levels[k]) || n.Team == j.team.name {
			continue
		}
		p.neededTasks += n.Tasks
		fitsToo := func(s task.Size) bool { return s.Fits(n.Size) }
		if !slices.ContainsFunc(p.neededSizes, fitsToo) {
			p.neededSizes = append(p.neededSizes, n.Size)
		}
	}
	return p.neededSizes
}

// mustYield reports whether a job leaves capacity to other members.
func (c *Core) mustYield(j *job) bool { return len(c.needierSizes(j)) > 0 }

// updateLevels computes for each class the weighted share that each team with
// waiting work would have if the current usage of these teams were divided anew. Levels are kept for
// a while, so that two members with stale summaries do not yield to each other
// in turn.
func (c *Core) updateLevels() {
	p := &c.peers
	p.levelsAt = c.now
	for k := range p.levels {
		p.levels[k] = c.shareLevel(class(k))
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

// maxLevel exceeds the share of every team.
const maxLevel = 1e9

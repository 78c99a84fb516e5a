package decision

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/task"
)

// reservationDelay is how long an all-at-once job waits for room before workers are
// reserved for it.
const reservationDelay = 2 * time.Second

// reservation keeps workers for the oldest all-at-once job that has no room, as
// in EASY backfill (Lifka, 1995): on them other work starts only if it ends
// before the job is expected to start.
//
// So a job that fits the empty cell waits for reserveAfter, then for the longest
// run time left on the reserved workers, and before that for the older
// all-at-once jobs, each with the same bound; whatever else is submitted. The
// bound holds beside the work of other members of the region too, which are told of
// the reservation; telling adds a second at each end. Replicas of services that come
// back may take reserved workers, and others are reserved then, from which the job
// waits for the longest run again.
type reservation struct {
	job *job
	// workers are by rack and by worker.
	workers map[string]map[string]bool
	// shadowTime is when the last of the workers is expected to be free.
	shadowTime time.Time
}

// requestReservation notes that an all-at-once job has no room, and reserves workers for
// it once it has waited enough, unless an older one has a reservation. They are
// chosen anew if they are lost, or if they did not become free when they should:
// replicas of services may have taken their room.
func (c *Core) requestReservation(j *job) {
	if j.blockedSince.IsZero() {
		j.blockedSince = c.now
	}
	if c.now.Sub(j.blockedSince) < reservationDelay {
		return
	}
	r := c.reservation
	switch {
	case r == nil, r.job != j && j.olderThan(r.job):
	case r.job == j && (c.reservedTaskCount(r) < len(j.tasks) || c.now.Sub(r.shadowTime) > reservationDelay):
	default:
		return
	}
	c.reserve(j)
}

// reserve picks the workers that are expected to be free first.
func (c *Core) reserve(j *job) {
	c.unreserve()
	r := &reservation{job: j, workers: map[string]map[string]bool{}, shadowTime: c.now}
	missing := len(j.tasks)
	for _, s := range c.expectedAvailability(j) {
		if missing <= 0 {
			break
		}
		missing -= s.taskCount
		if s.freeAt.After(r.shadowTime) {
			r.shadowTime = s.freeAt
		}
		name := s.view.digest.Rack
		if r.workers[name] == nil {
			r.workers[name] = map[string]bool{}
		}
		r.workers[name][s.worker] = true
		s.view.reserved = r.workers[name]
	}
	c.reservation = r
}

// unreserve gives the reserved workers back to all.
func (c *Core) unreserve() {
	if c.reservation == nil {
		return
	}
	c.reservation = nil
	for _, v := range c.cell.views {
		v.reserved = nil
	}
	c.unblock((*subqueue).awaitsCapacity)
}

// unreserveIfDone ends a reservation whose job no longer waits.
func (c *Core) unreserveIfDone() {
	r := c.reservation
	if r != nil && (!r.job.placeable() || c.jobs[r.job.key] != r.job) {
		c.unreserve()
	}
}

// reservedTaskCount returns how many tasks of the job its reserved workers take when they
// are empty.
func (c *Core) reservedTaskCount(r *reservation) int {
	n := 0
	for name, workers := range r.workers {
		v := c.cell.viewByName(name)
		if v == nil {
			continue
		}
		for _, w := range v.digest.Workers {
			if workers[w.ID] && w.State == rack.Up {
				n += fitCount(r.job.size, w.Capacity, len(r.job.tasks))
			}
		}
	}
	return n
}

// mayBackfill reports whether a job may use the reserved workers.
func (c *Core) mayBackfill(j *job) bool {
	r := c.reservation
	if r == nil || r.job == j {
		return true
	}
	switch j.class() {
	case urgent, replacements, requests:
		return true
	case services:
		return false
	}
	span := c.runTimeBucket(j)
	return span > 0 && !c.now.Add(span).After(r.shadowTime)
}

// runTimeBucket returns for how long a task of the job is expected to run, rounded up
// to a power of two seconds so that jobs of like length share a line; 0 is not
// known.
func (c *Core) runTimeBucket(j *job) time.Duration {
	expected := c.expectedRunTime(j)
	if expected <= 0 || j.work.Kind == task.Service {
		return 0
	}
	span := time.Second
	for span < expected {
		span *= 2
	}
	return span
}

// availability is a worker and when it is expected to have room for some tasks.
type availability struct {
	view      *view
	worker    string
	freeAt    time.Time
	taskCount int
}

// expectedAvailability returns the workers that can have room for tasks of a job, those
// first that are expected to be free first.
func (c *Core) expectedAvailability(j *job) []availability {
	occupied := c.occupancyByWorker()
	var found []availability
	for _, v := range c.cell.views {
		for _, w := range v.digest.Workers {
			o := occupied[w.ID]
			n := fitCount(j.size, w.Capacity.Minus(o.indefinite), len(j.tasks))
			if w.State != rack.Up || n == 0 {
				continue
			}
			found = append(found, availability{view: v, worker: w.ID, freeAt: o.freeAt, taskCount: n})
		}
	}
	slices.SortStableFunc(found, func(a, b availability) int {
		return cmp.Or(cmp.Compare(c.foreignRank(a.view), c.foreignRank(b.view)), a.freeAt.Compare(b.freeAt))
	})
	return found
}

// foreignRank is 1 for a rack that is not in the driver's region.
func (c *Core) foreignRank(v *view) int {
	if v.digest.Region != c.options.Region {
		return 1
	}
	return 0
}

// occupancy is what runs on a worker: stays has no known end, and the rest is
// expected to have ended by clear.
type occupancy struct {
	indefinite task.Size
	freeAt     time.Time
}

// occupancyByWorker returns what this driver's attempts take, by worker.
func (c *Core) occupancyByWorker() map[string]occupancy {
	all := map[string]occupancy{}
	for _, j := range c.jobs {
		if j.activeCount() == 0 {
			continue
		}
		span := c.expectedRunTime(j)
		for i := range j.tasks {
			a := &j.tasks[i]
			if !a.charged {
				continue
			}
			o := all[a.worker]
			end := a.startedAt.Add(span)
			switch {
			case j.work.Kind == task.Service:
				o.indefinite = o.indefinite.Plus(a.size)
			case span > 0 && end.After(o.freeAt):
				o.freeAt = end
			}
			all[a.worker] = o
		}
	}
	return all
}

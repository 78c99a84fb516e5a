package decision

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/task"
)

// reservationDelay is how long a gang waits for capacity before workers are
// reserved for it.
const reservationDelay = 2 * time.Second

// reservation keeps workers for the oldest gang that does not fit, as in EASY
// backfill (Lifka, 1995): other work starts on them only if it ends before the
// gang is expected to start.
//
// This bounds the wait of a gang that fits the empty cell, whatever else is
// submitted: reservationDelay, plus the longest remaining run time on the
// reserved workers, plus the same bound for each older gang. The bound also
// holds against the work of other members of the region, which receive the
// reservation; sending it adds a second at each end. Restarted replicas of
// services may use reserved workers; other workers are then reserved, and the
// wait for the longest remaining run time begins anew.
type reservation struct {
	job *job
	// workers is keyed by rack and worker.
	workers map[string]map[string]bool
	// shadowTime is when the last of the workers is expected to be free.
	shadowTime time.Time
}

// requestReservation records that a gang does not fit. It reserves workers for
// it after reservationDelay, unless an older gang has the reservation. The
// gang's own reservation is renewed if reserved workers are lost or were not
// free in time, as replicas of services may have used them.
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

// reserve reserves the workers that are expected to be free first.
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

// unreserve cancels the reservation.
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

// unreserveIfDone cancels a reservation whose job no longer waits.
func (c *Core) unreserveIfDone() {
	r := c.reservation
	if r != nil && (!r.job.placeable() || c.jobs[r.job.key] != r.job) {
		c.unreserve()
	}
}

// reservedTaskCount returns how many tasks of the job fit on its reserved
// workers when they are empty.
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
	runTime := c.runTimeBucket(j)
	return runTime > 0 && !c.now.Add(runTime).After(r.shadowTime)
}

// runTimeBucket returns the expected run time of a task of the job, rounded up
// to a power of two seconds so that jobs of similar length share a subqueue; 0
// is unknown.
func (c *Core) runTimeBucket(j *job) time.Duration {
	expected := c.expectedRunTime(j)
	if expected <= 0 || j.work.Kind == task.Service {
		return 0
	}
	bucket := time.Second
	for bucket < expected {
		bucket *= 2
	}
	return bucket
}

// availability is when a worker is expected to have capacity for some tasks.
type availability struct {
	view      *view
	worker    string
	freeAt    time.Time
	taskCount int
}

// expectedAvailability returns the workers that can have capacity for tasks of
// a job: those in the driver's region first, then in order of time.
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

// foreignRank is 1 for a rack outside of the driver's region, 0 otherwise.
func (c *Core) foreignRank(v *view) int {
	if v.digest.Region != c.options.Region {
		return 1
	}
	return 0
}

// occupancy is the work on a worker: indefinite has no known end, and the rest
// is expected to have ended by freeAt.
type occupancy struct {
	indefinite task.Size
	freeAt     time.Time
}

// occupancyByWorker returns the occupancy by this driver's attempts.
func (c *Core) occupancyByWorker() map[string]occupancy {
	all := map[string]occupancy{}
	for _, j := range c.jobs {
		if j.activeCount() == 0 {
			continue
		}
		runTime := c.expectedRunTime(j)
		for i := range j.tasks {
			a := &j.tasks[i]
			if !a.charged {
				continue
			}
			o := all[a.worker]
			end := a.startedAt.Add(runTime)
			switch {
			case j.work.Kind == task.Service:
				o.indefinite = o.indefinite.Plus(a.size)
			case runTime > 0 && end.After(o.freeAt):
				o.freeAt = end
			}
			all[a.worker] = o
		}
	}
	return all
}

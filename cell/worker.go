package cell

import (
	"slices"
	"strings"
	"time"

	"github.com/vanillaquay/vanillaquay/pace"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// reportInterval is the longest interval between polls of a worker, idle or not.
	reportInterval = 2 * time.Second
	// reportTimeout is how long after its last report a worker may still get new work: the
	// interval of its reports, plus a margin for one that is late.
	reportTimeout = 3500 * time.Millisecond
	// firstReportTimeout is how long after its first announcement a worker that has not
	// reported is expected to. The announcement may be of another writer, without a worker.
	firstReportTimeout = 3 * time.Second
	// idlePollsPerSecond is the number of idle workers that an owner polls in a second.
	// The owner has two fifths of a processor, and a poll takes it a third of a millisecond.
	idlePollsPerSecond = 300
	// minWorkerPause and maxWorkerPause bound the time for which a worker gets no new work
	// after a failure; each further failure doubles it.
	minWorkerPause = time.Second
	maxWorkerPause = 8 * time.Second
	// leaseMargin is added to the end of a lease for the transit of the grant.
	leaseMargin = 150 * time.Millisecond
)

// worker is a worker with its runs.
type worker struct {
	workload.Worker
	runs map[runKey]*run
	// used is the capacity allocated to runs. held is the capacity that gangs hold from the
	// steps ranked after them, in the current scheduling pass.
	used, held task.Size
	// usedByDaemons is the part of used that does not become free by itself.
	usedByDaemons task.Size
	// unlisted reports whether the worker is no longer announced.
	unlisted bool
	// seenAt is when the worker was first announced, or announced again after it was unlisted.
	seenAt time.Duration
	// lastReportAt is when the newest report received so far was requested; 0 is never.
	lastReportAt time.Duration
	// grantedAt is when the last lease was sent; runs on the worker end when it expires.
	grantedAt time.Duration
	// reportedLife is the life in the last report, lastCountedEnd the highest number
	// of an ended run counted in it.
	reportedLife, lastCountedEnd int64
	// unknownRuns holds the runs in the last report that have no record here, with the time
	// of the last order to stop each.
	unknownRuns map[runKey]time.Duration
	// unknownRunsUntil is when the unknown runs that were ordered to stop have ended.
	unknownRunsUntil time.Duration
	// pace determines the processor share of fillers. needsPacing reports whether both
	// services with a latency target and fillers run on the worker.
	pace        pace.State
	needsPacing bool
	// reserved reports whether the worker's machine goes down next for upkeep.
	reserved bool
	// speedOffset is the speed of runs on the worker relative to the usual speed, minus 1.
	speedOffset float64
	// failureScore increases with each failure and is reset by a success. The worker gets no
	// new work until pausedUntil.
	failureScore int
	pausedUntil  time.Duration
}

// free returns the capacity not allocated to runs.
func (w *worker) free() task.Size { return w.Capacity.Minus(w.used) }

// reclaimable returns the capacity that is free once all runs but those of daemons have ended.
func (w *worker) reclaimable() task.Size { return w.Capacity.Minus(w.usedByDaemons) }

// available returns the free capacity that is not held for a gang.
func (w *worker) available() task.Size { return w.free().Minus(w.held) }

func (w *worker) add(r *run) {
	w.runs[runKey{r.id, r.number}] = r
	w.used = w.used.Plus(r.size)
	if r.lasts {
		w.usedByDaemons = w.usedByDaemons.Plus(r.size)
	}
}

// revokeUnsentStarts prevents the sending of orders to start that are still queued. They are
// answered as unsent, and their tasks are placed elsewhere.
func (w *worker) revokeUnsentStarts() {
	for _, r := range w.runs {
		if r.state == placed {
			r.order.revoke()
		}
	}
}

// remove frees the capacity of a run. It reports false if the worker does not have the run.
func (w *worker) remove(r *run) bool {
	key := runKey{r.id, r.number}
	if w.runs[key] == nil {
		return false
	}
	delete(w.runs, key)
	w.used = w.used.Minus(r.size)
	if r.lasts {
		w.usedByDaemons = w.usedByDaemons.Minus(r.size)
	}
	return true
}

// penalise counts a failure of the worker and pauses it.
func (w *worker) penalise(now time.Duration) {
	pause := min(maxWorkerPause, minWorkerPause<<min(w.failureScore, 4))
	w.failureScore++
	w.pausedUntil = max(w.pausedUntil, now+pause)
}

// penaliseFor counts a failed start of a run as a failure of the worker, unless the worker has
// started again since the run was placed: the failure is then that of its earlier life.
func (w *worker) penaliseFor(now time.Duration, r *run) {
	if r.worker.Life == w.Life {
		w.penalise(now)
	}
}

// usable reports whether a worker accepts new work. One that reports another life than it
// announces may have become another kind, whose labels and capacity are not known yet.
func (c *Cell) usable(now time.Duration, w *worker) bool {
	return !w.unlisted && !w.Draining && !w.reserved && w.reportedLife == w.Life && len(w.unknownRuns) == 0 && now >= w.unknownRunsUntil && c.reportsInTime(now, w) && now >= w.pausedUntil
}

// reportsInTime reports whether the last report of a worker is recent enough for new work.
func (c *Cell) reportsInTime(now time.Duration, w *worker) bool {
	return w.lastReportAt > 0 && now-w.lastReportAt < reportTimeout+c.idlePollDelay(w)
}

// idlePollDelay returns how much later than usual an idle worker of a large cell may be
// polled. A worker lost meanwhile may be sent an order to start, which then gets no answer.
func (c *Cell) idlePollDelay(w *worker) time.Duration {
	if len(w.runs) > 0 {
		return 0
	}
	return max(0, time.Duration(len(c.sortedWorkers))*time.Second/idlePollsPerSecond-reportInterval)
}

// IdlePollDelay returns how much later than usual a worker may be polled; 0 if it has runs.
func (c *Cell) IdlePollDelay(id string) time.Duration {
	if w := c.workers[id]; w != nil {
		return c.idlePollDelay(w)
	}
	return 0
}

// canBeNamed reports whether a question may name the worker. A new worker need not have
// reported yet, since it will have by the time of the answer.
func (w *worker) canBeNamed(now time.Duration) bool {
	return !w.unlisted && !w.Draining && (w.lastReportAt > 0 || now-w.seenAt < firstReportTimeout)
}

// HandleAnnouncement adds or updates a worker from its announcement.
func (c *Cell) HandleAnnouncement(now time.Duration, announced workload.Worker) {
	w := c.workers[announced.ID]
	if w == nil {
		w = &worker{Worker: announced, runs: map[runKey]*run{}, seenAt: now}
		c.addWorker(w)
		c.log(LogEntry{Event: "worker seen", Worker: w.ID, Reason: announced.Service})
	}
	if announced.Draining && !w.Draining {
		c.log(LogEntry{Event: "worker drains", Worker: w.ID})
		w.revokeUnsentStarts()
	}
	if w.Life != announced.Life && w.Life != 0 {
		// The failures and the speed are those of the previous life.
		w.failureScore, w.pausedUntil, w.speedOffset = 0, 0, 0
	}
	if w.Address != announced.Address {
		c.fleetVersion++
	}
	if w.unlisted {
		w.seenAt = now
	}
	w.Worker, w.unlisted = announced, false
	c.stale = true
}

func (c *Cell) addWorker(w *worker) {
	c.fleetVersion++
	c.workers[w.ID] = w
	index, _ := slices.BinarySearchFunc(c.sortedWorkers, w.ID, func(other *worker, id string) int { return strings.Compare(other.ID, id) })
	c.sortedWorkers = slices.Insert(c.sortedWorkers, index, w)
}

// RemoveWorker marks a worker as no longer announced. Its runs may continue until its lease
// expires.
func (c *Cell) RemoveWorker(now time.Duration, id string) {
	w := c.workers[id]
	if w == nil || w.unlisted {
		return
	}
	w.unlisted = true
	c.log(LogEntry{Event: "worker gone", Worker: id, Age: now - w.lastReportAt})
	c.removeIfUnused(w)
}

func (c *Cell) removeIfUnused(w *worker) {
	if w.unlisted && len(w.runs) == 0 {
		c.fleetVersion++
		delete(c.workers, w.ID)
		c.sortedWorkers = slices.DeleteFunc(c.sortedWorkers, func(other *worker) bool { return other == w })
	}
}

// RecordGrant records that a lease was sent to a worker.
func (c *Cell) RecordGrant(now time.Duration, id string) {
	if w := c.workers[id]; w != nil {
		w.grantedAt = max(w.grantedAt, now)
	}
}

// RecordLongestLease records that a worker may have accepted the longest lease, as it carried out
// a call that was meant for another life.
func (c *Cell) RecordLongestLease(now time.Duration, id string) {
	c.RecordGrant(now+max(0, c.options.MaxLease-c.options.Lease), id)
}

// leaseEnd returns the time by which a lease granted at the given time has expired on the
// worker's clock as well.
func (c *Cell) leaseEnd(granted time.Duration) time.Duration {
	return granted + c.options.Lease + time.Duration(float64(c.options.Lease)*c.options.ClockSkew) + leaseMargin
}

// Runs returns the number of runs on a worker.
func (c *Cell) Runs(id string) int {
	if w := c.workers[id]; w != nil {
		return len(w.runs)
	}
	return 0
}

// Worker returns the announcement of a known worker.
func (c *Cell) Worker(id string) (workload.Worker, bool) {
	if w := c.workers[id]; w != nil {
		return w.Worker, true
	}
	return workload.Worker{}, false
}

// WorkerIDs lists the IDs of the known workers.
func (c *Cell) WorkerIDs() []string {
	ids := make([]string, len(c.sortedWorkers))
	for i, w := range c.sortedWorkers {
		ids[i] = w.ID
	}
	return ids
}

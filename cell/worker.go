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
	// reportInterval is how often a worker is looked at at the latest, idle or not.
	reportInterval = 2 * time.Second
	// reportTimeout is how long a worker may be unheard and still get new work: the
	// interval of its reports, and once more for one that is late.
	reportTimeout = 3500 * time.Millisecond
	// idlePollsPerSecond is how many idle workers an owner looks at in a second. A look takes it
	// a third of a millisecond, and it has two fifths of a processor.
	idlePollsPerSecond = 300
	// minWorkerPause and longestRest bound the pause in which a worker that has failed
	// gets nothing new; each further failure doubles it.
	minWorkerPause = time.Second
	maxWorkerPause = 8 * time.Second
	// leaseMargin is added to the end of a lease for the way of the grant.
	leaseMargin = 150 * time.Millisecond
)

// worker is one worker with what runs there.
type worker struct {
	workload.Worker
	runs map[runKey]*run
	// used is the room of runs, held the room that gangs keep from the steps after them,
	// in the present look at what waits.
	used, held task.Size
	// unlisted tells that the worker is no longer announced.
	unlisted bool
	// lastReportAt is when the report that was last answered was asked for; 0 is never.
	lastReportAt time.Duration
	// grantedAt is when the last lease was sent; what runs there ends with it.
	grantedAt time.Duration
	// reportedLife is that of the last report, seen the last end that was counted in it.
	reportedLife, lastCountedEnd int64
	// unknownRuns counts runs of the last report that are not known here.
	unknownRuns int
	// unknownRunsUntil is when those that were told to stop have ended.
	unknownRunsUntil time.Duration
	// pace is the share of what fills, shared tells that services run beside it.
	pace        pace.State
	needsPacing bool
	// reserved tells that the worker's machine goes down next.
	reserved bool
	// speedOffset is by which part of the usual speed runs are faster here.
	speedOffset float64
	// consecutiveFailures counts failures since the last success; the worker rests until
	// restUntil.
	consecutiveFailures int
	pausedUntil         time.Duration
}

// free returns the room that is left.
func (w *worker) free() task.Size { return w.Capacity.Minus(w.used) }

// available returns the room that a step may take.
func (w *worker) available() task.Size { return w.free().Minus(w.held) }

func (w *worker) add(r *run) {
	w.runs[runKey{r.id, r.number}] = r
	w.used = w.used.Plus(r.size)
}

func (w *worker) remove(r *run) {
	key := runKey{r.id, r.number}
	if w.runs[key] == nil {
		return
	}
	delete(w.runs, key)
	w.used = w.used.Minus(r.size)
}

// penalise counts a failure of the worker.
func (w *worker) penalise(now time.Duration) {
	rest := min(maxWorkerPause, minWorkerPause<<min(w.consecutiveFailures, 4))
	w.consecutiveFailures++
	w.pausedUntil = max(w.pausedUntil, now+rest)
}

// usable reports whether a worker may get new work.
func (c *Cell) usable(now time.Duration, w *worker) bool {
	return !w.unlisted && !w.Draining && !w.reserved && w.unknownRuns == 0 && now >= w.unknownRunsUntil && w.lastReportAt > 0 && now-w.lastReportAt < reportTimeout+c.idlePollDelay(w) && now >= w.pausedUntil
}

// idlePollDelay is how long an idle worker of a large cell needs no look. One that is lost
// meanwhile may be sent a start, which goes without an answer.
func (c *Cell) idlePollDelay(w *worker) time.Duration {
	if len(w.runs) > 0 {
		return 0
	}
	return max(0, time.Duration(len(c.sortedWorkers))*time.Second/idlePollsPerSecond-reportInterval)
}

// IdlePollDelay is how long a worker needs no look, 0 if it has work.
func (c *Cell) IdlePollDelay(id string) time.Duration {
	if w := c.workers[id]; w != nil {
		return c.idlePollDelay(w)
	}
	return 0
}

// canBeNamed reports whether a worker may be asked about: it need not have been heard
// yet, as it will be by the time of the answer.
func (w *worker) canBeNamed() bool { return !w.unlisted && !w.Draining }

// HandleAnnouncement takes the announcement of a worker.
func (c *Cell) HandleAnnouncement(now time.Duration, announced workload.Worker) {
	w := c.workers[announced.ID]
	if w == nil {
		w = &worker{Worker: announced, runs: map[runKey]*run{}}
		c.addWorker(w)
		c.log(LogEntry{Event: "worker seen", Worker: w.ID, Reason: announced.Service})
	}
	if announced.Draining && !w.Draining {
		c.log(LogEntry{Event: "worker drains", Worker: w.ID})
	}
	if w.Life != announced.Life && w.Life != 0 {
		// The earlier life took its failures and its kind with it.
		w.consecutiveFailures, w.pausedUntil, w.speedOffset = 0, 0, 0
	}
	if w.Address != announced.Address {
		c.fleetVersion++
	}
	w.Worker, w.unlisted = announced, false
	c.stale = true
}

func (c *Cell) addWorker(w *worker) {
	c.fleetVersion++
	c.workers[w.ID] = w
	place, _ := slices.BinarySearchFunc(c.sortedWorkers, w.ID, func(other *worker, id string) int { return strings.Compare(other.ID, id) })
	c.sortedWorkers = slices.Insert(c.sortedWorkers, place, w)
}

// RemoveWorker tells that a worker is no longer announced. What it ran may run on
// until its lease has ended.
func (c *Cell) RemoveWorker(now time.Duration, id string) {
	w := c.workers[id]
	if w == nil || w.unlisted {
		return
	}
	w.unlisted = true
	c.log(LogEntry{Event: "worker gone", Worker: id, Age: now - w.lastReportAt})
	c.removeIfIdle(w)
}

func (c *Cell) removeIfIdle(w *worker) {
	if w.unlisted && len(w.runs) == 0 {
		c.fleetVersion++
		delete(c.workers, w.ID)
		c.sortedWorkers = slices.DeleteFunc(c.sortedWorkers, func(other *worker) bool { return other == w })
	}
}

// RecordGrant tells that a lease was sent to a worker.
func (c *Cell) RecordGrant(now time.Duration, id string) {
	if w := c.workers[id]; w != nil {
		w.grantedAt = max(w.grantedAt, now)
	}
}

// leaseEnd returns when nothing can still run that was granted at a time.
func (c *Cell) leaseEnd(granted time.Duration) time.Duration {
	return granted + c.options.Lease + time.Duration(float64(c.options.Lease)*c.options.ClockSkew) + leaseMargin
}

// Runs returns how many runs a worker has.
func (c *Cell) Runs(id string) int {
	if w := c.workers[id]; w != nil {
		return len(w.runs)
	}
	return 0
}

// Worker returns a worker that is known.
func (c *Cell) Worker(id string) (workload.Worker, bool) {
	if w := c.workers[id]; w != nil {
		return w.Worker, true
	}
	return workload.Worker{}, false
}

// WorkerIDs lists the workers that are known.
func (c *Cell) WorkerIDs() []string {
	ids := make([]string, len(c.sortedWorkers))
	for i, w := range c.sortedWorkers {
		ids[i] = w.ID
	}
	return ids
}

package decision

import (
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// Bounds of quarantine.
const (
	// suspicionLimit is the suspicion at which a worker is quarantined.
	suspicionLimit = 2.5
	// maxQuarantinedPercent bounds the workers of the cell that are in
	// quarantine or on probation at once; one always may be.
	maxQuarantinedPercent = 10
	// minQuarantine is the duration of the first quarantine; it doubles with
	// each failure on probation up to maxQuarantine.
	minQuarantine = 30 * time.Second
	maxQuarantine = time.Hour
	// probationSuccesses is how many tasks must succeed in a row before a
	// worker counts as healthy again.
	probationSuccesses = 3
)

// condition is how far a worker is trusted.
type condition int

// The conditions of a worker.
const (
	healthy condition = iota
	// quarantined workers get no tasks until the quarantine ends.
	quarantined
	// probation workers get one task at a time.
	probation
)

// health is the history of one worker's failures.
type health struct {
	worker, rack string
	condition    condition
	// suspicion grows with failures of work that succeeds on other workers, and
	// is halved by each success.
	suspicion float64
	// failures counts failures by family since the last success.
	failures map[*family]float64
	// until is when the quarantine ends, and duration its length.
	until    time.Time
	duration time.Duration
	// successes counts the tasks that succeeded on probation.
	successes int
}

// updateHealth uses the end of an attempt as evidence about its worker. A
// failure is weighted by the family's success rate elsewhere, so that work that
// fails everywhere does not quarantine workers. A family not known elsewhere
// counts half, and only once.
func (c *Core) updateHealth(j *job, a *attempt, f *family) {
	h := c.health[a.worker]
	switch {
	case a.outcome == task.Succeeded && h != nil:
		h.suspicion /= 2
		clear(h.failures)
		c.countProbationSuccess(h)
	case a.outcome == task.Broke:
		if h == nil {
			h = &health{worker: a.worker, rack: a.rack, failures: map[*family]float64{}}
			c.health[a.worker] = h
		}
		h.suspicion += h.failureWeight(f)
		h.failures[f]++
		c.quarantineIfSuspect(h)
	}
}

func (h *health) failureWeight(f *family) float64 {
	failed := max(0, f.failed-h.failures[f])
	if f.succeeded+failed > 0 {
		return f.succeeded / (f.succeeded + failed)
	}
	if h.failures[f] > 0 {
		return 0
	}
	return 0.5
}

// quarantineIfSuspect quarantines a worker whose suspicion reached the limit or
// that failed on probation, if maxQuarantinedPercent allows it.
func (c *Core) quarantineIfSuspect(h *health) {
	if h.condition == healthy && h.suspicion < suspicionLimit {
		return
	}
	if h.condition == healthy && (len(c.quarantined)+1)*100 > max(100, c.cell.workerCount()*maxQuarantinedPercent) {
		return
	}
	h.duration = min(max(minQuarantine, 2*h.duration), maxQuarantine)
	h.until = c.now.Add(h.duration)
	h.successes = 0
	if h.condition == healthy {
		c.quarantined = append(c.quarantined, h)
	}
	h.condition = quarantined
	c.setClosed(h, true)
}

// countProbationSuccess counts a success on probation and ends the probation
// after probationSuccesses of them.
func (c *Core) countProbationSuccess(h *health) {
	if h.condition != probation {
		return
	}
	h.successes++
	if h.successes < probationSuccesses {
		return
	}
	h.condition, h.suspicion, h.duration = healthy, 0, 0
	c.quarantined = slices.DeleteFunc(c.quarantined, func(o *health) bool { return o == h })
}

// endQuarantines moves workers whose quarantine is over to probation.
func (c *Core) endQuarantines() {
	for _, h := range c.quarantined {
		if h.condition == quarantined && !c.now.Before(h.until) {
			h.condition = probation
			c.setClosed(h, false)
		}
	}
}

// startProbe closes a worker on probation while it runs a task.
func (c *Core) startProbe(worker string) {
	if h := c.health[worker]; h != nil && h.condition == probation {
		c.setClosed(h, true)
	}
}

// endProbe reopens a worker on probation whose task has ended.
func (c *Core) endProbe(worker string) {
	if h := c.health[worker]; h != nil && h.condition == probation {
		c.setClosed(h, false)
	}
}

// setClosed closes a worker to new attempts, or reopens it.
func (c *Core) setClosed(h *health, closed bool) {
	v := c.cell.viewByName(h.rack)
	if v == nil {
		return
	}
	if !closed {
		delete(v.closed, h.worker)
		v.updateMaxFree()
		c.unblockFitting(v)
		return
	}
	if v.closed == nil {
		v.closed = map[string]bool{}
	}
	v.closed[h.worker] = true
	v.updateMaxFree()
}

// workerCount returns the number of workers of the cell.
func (c *cell) workerCount() int {
	n := 0
	for _, v := range c.views {
		n += len(v.digest.Workers)
	}
	return n
}

package cell

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

const (
	// Each scheduling pass evaluates the first alwaysScanned steps in scheduling order, and
	// rotationSize of the others in rotation: it covers a backlog of 1,000 steps within half
	// a second.
	alwaysScanned = 160
	rotationSize  = 40
	// maxLateQuestions is the number of pending questions about late steps below which
	// another late step may ask. It is slightly above the number that the hosts of a large
	// deployment ask at once; with more, new steps would find the advice service busy.
	maxLateQuestions = 64
)

// Tick performs the work that is due at a time: it adds due occurrences, closes runs whose
// lease has expired, sends unanswered orders to stop again, and schedules. wall is the time
// since 1970 in milliseconds.
func (c *Cell) Tick(now time.Duration, wall int64) {
	c.wallClock = wall
	c.publishDurations()
	for _, j := range c.scheduledJobs() {
		if j.dueCount < j.Occurrences() {
			c.addDueOccurrences(now, j)
		}
	}
	for _, w := range slices.Clone(c.sortedWorkers) {
		c.checkRuns(now, w)
	}
	c.updateOverdue(now)
	c.stale = true
	c.Schedule(now)
}

// checkRuns closes the runs of a worker whose lease has expired, sends orders to stop again
// and withdraws runs that make no progress.
func (c *Cell) checkRuns(now time.Duration, w *worker) {
	for _, r := range w.sortedRuns() {
		switch {
		case c.hasLapsed(now, w, r):
			c.log(LogEntry{Event: "run lapsed", Job: r.id.Job, Task: r.id.String(), Run: r.number, Worker: w.ID, Reason: "the lease has expired", Age: now - w.grantedAt})
			c.applyEvent(r, "Lapsed")
			c.closeRun(now, w, r)
		case r.state == withdrawing && now-r.stopSentAt > stopRetryInterval:
			c.sendStop(now, r)
		case r.state == running:
			c.checkProgress(now, w, r)
		}
	}
	c.removeIfUnused(w)
}

// hasLapsed reports whether every lease under which a run may be running has expired. The
// order for a run that is placed may be about to be sent, with a lease of its own.
func (c *Cell) hasLapsed(now time.Duration, w *worker, r *run) bool {
	if w.grantedAt == 0 && !w.unlisted {
		return false
	}
	granted := w.grantedAt
	if r.state == placed {
		granted = max(granted, r.placedAt)
	}
	return now > c.leaseEnd(granted) && now-w.lastReportAt > c.options.Lease
}

// completePercent is the progress, in percent, of a run that has finished its own part of the
// work.
const completePercent = 100

// gangProgress returns when a member of a gang last made progress, and whether it waits for
// others. The members differ in size and end together, so that one that has finished its part
// shows no progress until the last has.
func (s *step) gangProgress(r *run) (progressed time.Duration, waits bool) {
	if !s.allRunning() {
		return 0, true
	}
	if r.percent < completePercent {
		return r.progressedAt, false
	}
	for _, t := range s.tasks {
		other := t.runs[0]
		if other.percent < completePercent {
			return 0, true
		}
		progressed = max(progressed, other.progressedAt)
	}
	return progressed, false
}

func (s *step) allRunning() bool {
	for _, t := range s.tasks {
		if len(t.runs) != 1 || t.runs[0].state != running {
			return false
		}
	}
	return true
}

// Stale reports whether something has changed since the last scheduling pass.
func (c *Cell) Stale() bool { return c.stale }

// Schedule runs a scheduling pass over the waiting steps, if something has changed.
func (c *Cell) Schedule(now time.Duration) {
	if !c.stale {
		return
	}
	c.stale = false
	c.failExhausted(now)
	c.resetScan()
	holdingGangs := 0
	steps := c.waitingSteps(now)
	lateQuestions := countLateQuestions(now, steps)
	steps = c.withoutHeldBack(now, steps)
	c.holdBookings(now, steps)
	for _, r := range c.selectSteps(now, steps) {
		s, queue := r.step, r.queue
		if !r.routed || c.isHeldBack(now, s, s.reservedBefore) {
			continue
		}
		if queue.Advice != nil && !s.tickets.hasAnswer() {
			if s.tickets.awaitsAnswer(now) {
				continue
			}
			if r.lateness != inTime {
				if lateQuestions >= maxLateQuestions {
					continue
				}
				lateQuestions++
			}
			c.askInitially(now, s, queue)
			continue
		}
		if !s.Gang {
			c.placeTasks(now, s, queue)
			continue
		}
		if !c.placeGang(now, s, queue) && holdingGangs < c.maxHoldingGangs() {
			holdingGangs++
			c.holdCapacity(now, s, queue)
		}
	}
}

// resetScan clears the held capacity and the worker groups of the last scheduling pass.
func (c *Cell) resetScan() {
	c.freeGroupsValid = false
	for _, w := range c.sortedWorkers {
		w.held = task.Size{}
	}
}

// selectSteps returns the steps to evaluate in this scheduling pass: the first ones in
// scheduling order, and of the others those that have just been answered and some more in
// rotation. This bounds the cost of a backlog and still evaluates all of it in time.
func (c *Cell) selectSteps(now time.Duration, steps []rankedStep) []rankedStep {
	if len(steps) <= alwaysScanned+rotationSize {
		return steps
	}
	selected := slices.Clone(steps[:alwaysScanned])
	others := steps[alwaysScanned:]
	for _, s := range others {
		if s.tickets.recentlyAnswered(now) {
			selected = append(selected, s)
		}
	}
	for range rotationSize {
		c.rotationIndex = (c.rotationIndex + 1) % len(others)
		if s := others[c.rotationIndex]; !s.tickets.recentlyAnswered(now) {
			selected = append(selected, s)
		}
	}
	return selected
}

// countLateQuestions returns the number of late steps that await an answer. Steps that
// are in time may ask at any moment and are not counted, so that they can't block late ones.
func countLateQuestions(now time.Duration, steps []rankedStep) int {
	n := 0
	for _, s := range steps {
		if s.lateness != inTime && s.tickets.awaitsAnswer(now) {
			n++
		}
	}
	return n
}

// waitingSteps returns the steps with waiting tasks, in scheduling order.
func (c *Cell) waitingSteps(now time.Duration) []rankedStep {
	var steps []rankedStep
	for _, j := range c.jobs {
		if j.state.Final() {
			continue
		}
		for _, s := range j.steps {
			if s.remaining > 0 && s.hasWaitingTask(now) && s.dependenciesDone() {
				steps = append(steps, c.rankStep(now, s))
			}
		}
	}
	slices.SortFunc(steps, rankedStep.compare)
	return steps
}

func (s *step) hasWaitingTask(now time.Duration) bool {
	for _, t := range s.tasks {
		if t.needsRun(now) {
			return true
		}
	}
	return false
}

func (c *Cell) scheduledJobs() []*job {
	jobs := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		if j.Schedule.Count > 0 && !j.state.Final() {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.ID, b.ID) })
	return jobs
}

func formatCount(n, of int) string { return fmt.Sprintf("%d of %d", n, of) }

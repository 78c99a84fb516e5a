package cell

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

const (
	// alwaysScanned is how many steps are looked at each time room is given to what waits,
	// in the order of service, and turnLooks how many of the others: a backlog of 1,000
	// steps has had its turn within half a second.
	alwaysScanned = 160
	rotationSize  = 40
	// maxLateQuestions is how many steps may wait for advice while one that is late asks
	// too: some more than the hosts of a large deployment ask at once. Those that come
	// meanwhile would find the service busy.
	maxLateQuestions = 64
)

// Tick does what is due at a time: occurrences, stops to send again, leases that
// have ended, and then gives room to what waits. wall is the time since 1970 in
// milliseconds.
func (c *Cell) Tick(now time.Duration, wall int64) {
	c.wallClock = wall
	for _, j := range c.scheduledJobs() {
		if j.dueCount < j.Occurrences() {
			c.addDueOccurrences(now, j)
		}
	}
	for _, w := range slices.Clone(c.sortedWorkers) {
		c.checkRuns(now, w)
	}
	c.stale = true
	c.Schedule(now)
}

// checkRuns closes what the end of its lease has ended, sends stops again and moves
// what makes no progress.
func (c *Cell) checkRuns(now time.Duration, w *worker) {
	for _, r := range w.sortedRuns() {
		switch {
		case c.hasLapsed(now, w, r):
			c.log(LogEntry{Event: "run lapsed", Job: r.id.Job, Task: r.id.String(), Run: r.number, Worker: w.ID, Reason: "the lease has ended", Age: now - w.grantedAt})
			c.applyEvent(r, "Lapsed")
			c.closeRun(now, w, r)
		case r.state == withdrawing && now-r.stopSentAt > stopRetryInterval:
			c.sendStop(now, r)
		case r.state == running:
			c.checkProgress(now, w, r)
		}
	}
	c.removeIfIdle(w)
}

// hasLapsed reports whether nothing that was granted can still let a run go on. The order
// for one that is placed may be about to be sent, with a grant of its own.
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

// checkProgress stops a run that stands still on a worker that can be heard.
func (c *Cell) checkProgress(now time.Duration, w *worker, r *run) {
	s, t := c.findTask(r.id)
	if s == nil || s.Daemon || w.lastReportAt <= r.progressedAt || t.done {
		return
	}
	progressed, waits := r.progressedAt, false
	if s.Gang {
		progressed, waits = s.gangProgress(r)
	}
	if waits || now-progressed < stuckTimeout {
		return
	}
	w.penalise(now)
	w.consecutiveFailures++
	c.withdraw(now, r, fmt.Sprintf("no progress at %.0f percent", r.percent))
}

// completePercent is the progress, in percent, of a run whose own work is done.
const completePercent = 100

// gangProgress returns when a member of a gang last made progress, and whether it
// waits for others. The members are of different size and end together, so that one
// that has done its work stands still until the last has.
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

// Stale reports whether something has changed since room was last given to what waits.
func (c *Cell) Stale() bool { return c.stale }

// Schedule gives room to what waits, if something has changed.
func (c *Cell) Schedule(now time.Duration) {
	if !c.stale {
		return
	}
	c.stale = false
	c.resetScan()
	gangsHeld := 0
	steps := c.waitingSteps(now)
	c.holdBookings(now, steps)
	lateAsking := countLateQuestions(now, steps)
	for _, r := range c.selectSteps(now, steps) {
		s, queue := r.step, r.queue
		if !r.routed {
			continue
		}
		if queue.Advice != nil && !s.tickets.hasAnswer() {
			if s.tickets.awaitsAnswer(now) {
				continue
			}
			if r.lateness != inTime {
				if lateAsking >= maxLateQuestions {
					continue
				}
				lateAsking++
			}
			c.askInitially(now, s, queue)
			continue
		}
		if !s.Gang {
			c.placeTasks(now, s, queue)
			continue
		}
		if !c.placeGang(now, s, queue) && gangsHeld < c.maxHoldingGangs() {
			gangsHeld++
			c.holdCapacity(now, s, queue)
		}
	}
}

// resetScan forgets what the last look kept.
func (c *Cell) resetScan() {
	c.freeGroupsValid = false
	for _, w := range c.sortedWorkers {
		w.held = task.Size{}
	}
}

// selectSteps returns the steps that are looked at this time: the first in the order of service,
// and of the others those that were just answered, and some more, each time the next. A
// backlog costs no more than this, and all of it comes to its turn.
func (c *Cell) selectSteps(now time.Duration, steps []rankedStep) []rankedStep {
	if len(steps) <= alwaysScanned+rotationSize {
		return steps
	}
	turn := slices.Clone(steps[:alwaysScanned])
	rest := steps[alwaysScanned:]
	for _, s := range rest {
		if s.tickets.recentlyAnswered(now) {
			turn = append(turn, s)
		}
	}
	for range rotationSize {
		c.rotationIndex = (c.rotationIndex + 1) % len(rest)
		if s := rest[c.rotationIndex]; !s.tickets.recentlyAnswered(now) {
			turn = append(turn, s)
		}
	}
	return turn
}

// countLateQuestions counts the steps that are late and wait for an answer about their
// workers. Those in time may ask at any moment, and must not keep these from it.
func countLateQuestions(now time.Duration, steps []rankedStep) int {
	n := 0
	for _, s := range steps {
		if s.lateness != inTime && s.tickets.awaitsAnswer(now) {
			n++
		}
	}
	return n
}

// waitingSteps returns the steps with tasks that wait, in the order of service.
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

package cell

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// lateFactor times its objective is when a job earns nothing more.
const lateFactor = 3

// Tick does what is due at a time: occurrences, stops to send again, leases that
// have ended, and then gives room to what waits. wall is the time since 1970 in
// milliseconds.
func (c *Cell) Tick(now time.Duration, wall int64) {
	c.wall = wall
	for _, j := range c.sortedJobs() {
		if j.due < j.Occurrences() {
			c.makeDue(now, j)
		}
	}
	for _, w := range slices.Clone(c.order) {
		c.overdue(now, w)
	}
	c.stale = true
	c.Schedule(now)
}

// overdue closes what the end of its lease has ended, sends stops again and moves
// what makes no progress.
func (c *Cell) overdue(now time.Duration, w *worker) {
	lapsed := now > c.leaseEnd(w) && now-w.heard > c.options.Lease
	for _, r := range w.sortedRuns() {
		switch {
		case lapsed && (w.granted > 0 || w.gone):
			c.note(Note{What: "run lapsed", Job: r.id.Job, Task: r.id.String(), Run: r.number, Worker: w.ID, Why: "the lease has ended", Age: now - w.granted})
			c.apply(r, "Lapsed")
			c.closeRun(now, w, r)
		case r.state == withdrawing && now-r.stopSent > stopRetry:
			c.sendStop(now, r)
		case r.state == running:
			c.checkProgress(now, w, r)
		}
	}
	c.dropIfEmpty(w)
}

// checkProgress stops a run that stands still on a worker that can be heard.
func (c *Cell) checkProgress(now time.Duration, w *worker, r *run) {
	s, t := c.find(r.id)
	if s == nil || s.Daemon || w.heard <= r.progressed || now-r.progressed < stuckBound || t.done {
		return
	}
	if s.Gang && !s.allRunning() {
		return
	}
	w.strike(now)
	w.strikes++
	c.withdraw(now, r, "no progress")
}

func (s *step) allRunning() bool {
	for _, t := range s.tasks {
		if len(t.runs) != 1 || t.runs[0].state != running {
			return false
		}
	}
	return true
}

// Schedule gives room to what waits, if something has changed.
func (c *Cell) Schedule(now time.Duration) {
	if !c.stale {
		return
	}
	c.stale = false
	held := map[string]task.Size{}
	gangsHeld := 0
	steps := c.waiting(now)
	c.book(now, steps, held)
	for _, s := range steps {
		queue, ok := c.catalogue.Queue(s.job.Queue)
		if !ok {
			continue
		}
		if queue.Advice != nil && !s.tickets.known() {
			c.askFirst(now, s, *queue.Advice)
			continue
		}
		if !s.Gang {
			c.placeTasks(now, s, queue, held)
			continue
		}
		if !c.placeGang(now, s, queue, held) && gangsHeld < maxGangsHeld {
			gangsHeld++
			c.holdRoom(now, s, queue, held)
		}
	}
}

// waiting returns the steps with tasks that wait, in the order of service.
func (c *Cell) waiting(now time.Duration) []*step {
	type ranked struct {
		*step
		late  bool
		start time.Duration
	}
	var steps []ranked
	for _, j := range c.jobs {
		if j.state.Final() {
			continue
		}
		for _, s := range j.steps {
			if s.left > 0 && s.hasWaiting(now) && s.ready() {
				start := c.latestStart(s)
				steps = append(steps, ranked{s, start < now, start})
			}
		}
	}
	slices.SortFunc(steps, func(a, b ranked) int {
		if a.late != b.late {
			if a.late {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.id.Job, b.id.Job), cmp.Compare(a.id.Step, b.id.Step), cmp.Compare(a.id.Occurrence, b.id.Occurrence))
	})
	sorted := make([]*step, len(steps))
	for i, s := range steps {
		sorted[i] = s.step
	}
	return sorted
}

func (s *step) hasWaiting(now time.Duration) bool {
	for _, t := range s.tasks {
		if t.waits(now) {
			return true
		}
	}
	return false
}

// latestStart returns when a step must start for its job to meet its objective.
func (c *Cell) latestStart(s *step) time.Duration {
	queue, ok := c.catalogue.Queue(s.job.Queue)
	if !ok {
		return s.since
	}
	whole := s.job.chain(0)
	objective := time.Duration(queue.Stretch*float64(whole)) + queue.Allowance
	return s.since + objective - s.job.chain(s.id.Step)
}

// chain returns the estimate of the longest chain of steps from a step on.
func (j *job) chain(from int) time.Duration {
	longest := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		longest[i] += j.Steps[i].Estimate
		for _, a := range j.Steps[i].After {
			longest[a] = max(longest[a], longest[i])
		}
	}
	if from > 0 {
		return longest[from]
	}
	return slices.Max(longest)
}

func (c *Cell) sortedJobs() []*job {
	jobs := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		if j.Schedule.Times > 0 {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.ID, b.ID) })
	return jobs
}

func countOf(n, of int) string { return fmt.Sprintf("%d of %d", n, of) }

package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

// failureBackoff is the delay before a failed task starts again, so that a worker on which
// every run fails is detected before the task has used up its attempts.
const failureBackoff = 100 * time.Millisecond

// minAttemptsForRetry is the least number of attempts with which the first failure of a task is
// followed by another run at once. Two attempts are left to detect a worker that fails every run.
const minAttemptsForRetry = 3

// stopMargin is added to the time that a run takes to stop, to allow for slow clocks.
const stopMargin = 50 * time.Millisecond

// unknownStopInterval is the interval at which an unknown run is ordered to stop while it is
// reported.
const unknownStopInterval = 300 * time.Millisecond

// HandleReport processes the report of a worker that was requested at sent. It returns the
// number of the last ended run that has been counted; the worker may forget ended runs up to
// it once the changes are recorded.
func (c *Cell) HandleReport(now, sent time.Duration, id string, report Report) (counted int64) {
	w := c.workers[id]
	if w == nil {
		return 0
	}
	if report.Life != w.reportedLife {
		w.reportedLife, w.lastCountedEnd = report.Life, 0
	}
	newest := sent >= w.lastReportAt
	w.lastReportAt = max(w.lastReportAt, sent)
	for _, e := range report.Ended {
		if e.Number > w.lastCountedEnd {
			c.handleEnd(now, w, e)
		}
	}
	for _, e := range report.Ended {
		w.lastCountedEnd = max(w.lastCountedEnd, e.Number)
	}
	if newest {
		c.reconcileRuns(now, sent, w, report)
		c.adjustPace(now, w, report)
		c.checkSpeed(now, w)
	}
	c.removeIfUnused(w)
	c.stale = true
	return w.lastCountedEnd
}

// handleEnd processes one ended run.
func (c *Cell) handleEnd(now time.Duration, w *worker, e EndedRun) {
	r := w.runs[runKey{e.Task, e.Run}]
	if r == nil {
		c.log(LogEntry{Event: "end of an unknown run", Job: e.Task.Job, Task: e.Task.String(), Run: e.Run, Worker: w.ID, Reason: string(e.Outcome)})
		c.handleUnknownEnd(now, e)
		return
	}
	c.log(LogEntry{Event: "run ended", Job: e.Task.Job, Task: e.Task.String(), Run: e.Run, Worker: w.ID, Reason: string(e.Outcome), Age: now - r.placedAt})
	c.applyEvent(r, "Ended")
	s, t := c.findTask(e.Task)
	if s != nil {
		s.job.started = true
		c.applyEnd(now, w, s, t, e, r)
	}
	c.closeRun(now, w, r)
	if s != nil {
		c.finishIfDone(now, s.job)
	}
}

// handleUnknownEnd processes the end of a run that counts as lapsed because no report of its
// worker arrived for longer than a lease, possibly under an earlier owner. If the run ended
// as done, so is its task: the worker is about to forget the run, and the task must not run
// again.
func (c *Cell) handleUnknownEnd(now time.Duration, e EndedRun) {
	s, t := c.findTask(e.Task)
	if s == nil || t.done || e.Outcome != EndedDone || e.Run > t.lastRun {
		return
	}
	c.markDone(now, s, t)
	for _, each := range s.tasks {
		if each.done {
			c.withdrawAll(now, each.runs, "an earlier run of the task is done")
		}
	}
	c.finishIfDone(now, s.job)
}

// applyEnd updates the task, the worker and the usual speeds after the end of a run.
func (c *Cell) applyEnd(now time.Duration, w *worker, s *step, t *taskRecord, e EndedRun, r *run) {
	t.saveCheckpoint(e.Checkpoint)
	switch e.Outcome {
	case EndedDone:
		w.failureScore = 0
		if !r.restored && e.Run == 1 && r.begunAt > 0 {
			c.learnRun(now, s, w, r)
		}
		c.markDone(now, s, t)
	case EndedFailed:
		w.recordFailure(now)
		c.recordFailure(now, s, t, e)
	case EndedLapsed, EndedAlone:
		t.notBefore = now + failureBackoff
	}
}

// learnRun updates the usual speeds and the predicted durations after the first run of a task
// that ended as done. A gang works from when its last member has begun, at the speed of its
// slowest worker, and is counted once.
func (c *Cell) learnRun(now time.Duration, s *step, w *worker, r *run) {
	if !s.Gang {
		// The speed before this run applies: the run's own deviation must not count twice.
		c.learnDuration(s, c.atUsualSpeed(now-r.begunAt, w))
		c.speeds.learn(s.job.Queue, w, s.Estimate, now-r.begunAt)
		return
	}
	if s.remaining < len(s.tasks) {
		return
	}
	begun, slowest := r.begunAt, w
	for _, t := range s.tasks {
		for _, other := range t.runs {
			begun = max(begun, other.begunAt)
			if on := c.workers[other.worker.ID]; on.speedOffset < slowest.speedOffset {
				slowest = on
			}
		}
	}
	c.learnDuration(s, c.atUsualSpeed(now-begun, slowest))
}

// markDone marks a task, or all tasks of a gang, as done. A daemon is never done.
func (c *Cell) markDone(now time.Duration, s *step, t *taskRecord) {
	if s.Daemon {
		return
	}
	tasks := []*taskRecord{t}
	if s.Gang {
		tasks = s.tasks
	}
	for _, each := range tasks {
		if each.done {
			continue
		}
		each.done = true
		s.remaining--
		if !s.Gang {
			c.withdrawAll(now, each.runs, "another run of the task is done")
		}
	}
	c.markChanged(s.job)
}

// recordFailure counts a failure of a task and fails the job if no attempt is left.
func (c *Cell) recordFailure(now time.Duration, s *step, t *taskRecord, e EndedRun) {
	if t.done {
		return
	}
	if s.Gang || t.failures > 0 || s.job.policy.MaxAttempts < minAttemptsForRetry {
		t.notBefore = now + failureBackoff
	}
	if s.Gang && s.lastFailedRun == e.Run {
		// All members of a gang fail together, so the failure of one run counts once.
		return
	}
	s.lastFailedRun = e.Run
	t.failures++
	if s.Gang {
		for _, other := range s.tasks {
			other.failures = max(other.failures, t.failures)
			other.notBefore = t.notBefore
		}
	}
	c.markChanged(s.job)
	if s.Daemon || s.job.policy.IsZero() || t.failures < s.job.policy.MaxAttempts {
		return
	}
	c.finish(now, s.job, workload.Failed, "task "+e.Task.String()+" has no attempts left")
}

// recordFailure counts a failed run on a worker. The fault may be the task's, so the worker
// is paused only from the second consecutive failure on.
func (w *worker) recordFailure(now time.Duration) {
	w.failureScore++
	if w.failureScore >= 2 {
		w.pausedUntil = max(w.pausedUntil, now+min(maxWorkerPause, minWorkerPause<<min(w.failureScore-2, 4)))
	}
}

// reconcileRuns compares the runs recorded for a worker with those that it reports.
func (c *Cell) reconcileRuns(now, sent time.Duration, w *worker, report Report) {
	listed := make(map[runKey]ActiveRun, len(report.Running))
	for _, r := range report.Running {
		listed[runKey{r.Task, r.Run}] = r
	}
	c.stopUnknownRuns(now, w, report)
	for _, r := range w.sortedRuns() {
		l, ok := listed[runKey{r.id, r.number}]
		switch {
		case ok && report.Life != r.worker.Life:
			c.handleMisdirectedRun(now, w, r)
		case ok:
			c.confirmRun(now, r, l)
		case report.Complete:
			c.handleMissingRun(now, sent, w, r, report.Life)
		}
	}
}

// stopUnknownRuns stops the runs that this owner has no record of, such as those whose job has
// ended. A stop is repeated after a while, not with each report: the worker may list the run
// for ever.
func (c *Cell) stopUnknownRuns(now time.Duration, w *worker, report Report) {
	stopped := map[runKey]time.Duration{}
	for _, r := range report.Running {
		key := runKey{r.Task, r.Run}
		if w.runs[key] != nil {
			continue
		}
		orderedAt, ordered := w.unknownRuns[key]
		if !ordered || now-orderedAt >= unknownStopInterval {
			c.stopUnknownRun(w, r)
			orderedAt = now
		}
		stopped[key] = orderedAt
	}
	w.unknownRuns = stopped
	if len(stopped) > 0 {
		w.unknownRunsUntil = now + c.options.StopTime + stopMargin
	}
}

// stopUnknownRun stops a run that this owner has no record of.
func (c *Cell) stopUnknownRun(w *worker, r ActiveRun) {
	c.log(LogEntry{Event: "unknown run stopped", Job: r.Task.Job, Task: r.Task.String(), Run: r.Run, Worker: w.ID})
	c.actions.Stops = append(c.actions.Stops, Stop{Worker: w.Worker, Task: r.Task, Run: r.Run})
	c.actions.Polls = append(c.actions.Polls, Poll{w.ID})
}

// confirmRun updates a run that the worker reports as running.
func (c *Cell) confirmRun(now time.Duration, r *run, l ActiveRun) {
	c.applyEvent(r, "Seen")
	c.markBegun(now, r)
	// Reports may arrive out of order: one requested before now that lacks the run may be
	// older than this one.
	r.confirmedAt = now
	if l.Percent != r.percent {
		r.percent, r.progressedAt = l.Percent, now
	}
	if s, t := c.findTask(r.id); s != nil && r.number == t.lastRun {
		t.saveCheckpoint(l.Checkpoint)
	}
}

// handleMisdirectedRun stops a run that another life of the worker started than the one that it
// was placed on. Its lease may be the longest one, as the order named its end by another clock.
func (c *Cell) handleMisdirectedRun(now time.Duration, w *worker, r *run) {
	r.confirmedAt = now
	c.RecordLongestLease(now, w.ID)
	c.withdraw(now, r, "another life of the worker started it")
}

// handleMissingRun processes a run that the report of its worker lacks. Only a report
// requested after the last confirmation of the run is evidence, and a run that may be
// stopping is in neither list.
func (c *Cell) handleMissingRun(now, sent time.Duration, w *worker, r *run, life int64) {
	switch r.state {
	case placed:
		return
	case withdrawing:
		if r.stopConfirmedAt == 0 || sent <= r.stopConfirmedAt+c.options.StopTime+stopMargin {
			return
		}
	case unsettled:
		// The earlier owner may have stopped the run, up to the moment it was replaced.
		if sent <= r.placedAt+c.options.StopTime+stopMargin {
			return
		}
	default:
		if sent <= r.confirmedAt {
			return
		}
		if life != r.worker.Life && r.order.hasUnansweredCopy() {
			// A worker that has started again carries out a late copy unless it has been told
			// to stop the run.
			c.withdraw(now, r, "a copy of the order may reach the worker's next life")
			return
		}
	}
	c.applyEvent(r, "Absent")
	if r.state == withdrawing {
		c.sendStop(now, r)
		return
	}
	c.log(LogEntry{Event: "run lost", Job: r.id.Job, Task: r.id.String(), Run: r.number, Worker: w.ID, Reason: "the worker's report does not list the run", Age: now - r.placedAt})
	c.closeRun(now, w, r)
}

// sortedRuns returns the runs on a worker in the order in which they were placed. Runs of several
// jobs may be placed at the same time.
func (w *worker) sortedRuns() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.placedAt, b.placedAt), cmp.Compare(a.id.Index, b.id.Index), cmp.Compare(a.number, b.number),
			cmp.Compare(a.id.Job, b.id.Job), cmp.Compare(a.id.Step, b.id.Step), cmp.Compare(a.id.Occurrence, b.id.Occurrence))
	})
	return runs
}

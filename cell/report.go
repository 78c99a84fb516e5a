package cell

import (
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

// failureBackoff keeps a task that failed from starting again at once, so that a
// worker that fails everything is found before it has used up all attempts.
const failureBackoff = 100 * time.Millisecond

// stopMargin is added to the time that a run takes to stop, for slow clocks.
const stopMargin = 50 * time.Millisecond

// stuckTimeout is how long a run may show no progress. Progress is in percent, and
// the longest tasks take some 160 ms for one.
const stuckTimeout = 3 * time.Second

// HandleReport takes the report of a worker that was asked for at sent. It returns the
// number of the last end that is counted, which the worker may forget once the
// changes are recorded.
func (c *Cell) HandleReport(now, sent time.Duration, id string, report Report) (seen int64) {
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
	c.removeIfIdle(w)
	c.stale = true
	return w.lastCountedEnd
}

// handleEnd takes the end of one run.
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

// handleUnknownEnd takes the end of a run that counts as lapsed, since its worker was not
// heard for longer than a lease, also under an earlier owner. If it is done, its task is:
// the worker is about to forget the end, and the task must not run again after that.
func (c *Cell) handleUnknownEnd(now time.Duration, e EndedRun) {
	s, t := c.findTask(e.Task)
	if s == nil || t.done || e.Outcome != EndedDone || e.Run > t.lastRun {
		return
	}
	c.markDone(now, s, t)
	for _, each := range s.tasks {
		if each.done {
			c.withdrawAll(now, each.runs, "an earlier run is done")
		}
	}
	c.finishIfDone(now, s.job)
}

// applyEnd draws the conclusion from the end of a run for its task.
func (c *Cell) applyEnd(now time.Duration, w *worker, s *step, t *taskRecord, e EndedRun, r *run) {
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	switch e.Outcome {
	case EndedDone:
		w.consecutiveFailures = 0
		if !s.Gang && !r.restored && e.Run == 1 && r.begunAt > 0 {
			c.speeds.learn(s.job.Queue, w, s.Estimate, now-r.begunAt)
		}
		c.markDone(now, s, t)
	case EndedFailed:
		w.recordFailure(now)
		c.recordFailure(now, s, t, e)
	case EndedLapsed, EndedAlone:
		t.notBefore = now + failureBackoff
	}
}

// markDone counts a task, or all tasks of a gang.
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
			c.withdrawAll(now, each.runs, "another run is done")
		}
	}
	c.markChanged(s.job)
}

// recordFailure counts a failure and gives a job up that has no attempt left.
func (c *Cell) recordFailure(now time.Duration, s *step, t *taskRecord, e EndedRun) {
	if t.done {
		return
	}
	t.notBefore = now + failureBackoff
	if s.Gang && s.lastFailedRun == e.Run {
		// A gang fails as one; the failure of a run counts once.
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
	queue, known := c.queues[s.job.Queue]
	if s.Daemon || !known || t.failures < queue.MaxAttempts {
		return
	}
	c.finish(now, s.job, workload.Failed, "task "+e.Task.String()+" has no attempt left")
}

// recordFailure counts a failed run of a worker; the fault may be the task's, so that the
// worker rests only from the second one on.
func (w *worker) recordFailure(now time.Duration) {
	w.consecutiveFailures++
	if w.consecutiveFailures >= 2 {
		w.pausedUntil = max(w.pausedUntil, now+min(maxWorkerPause, minWorkerPause<<min(w.consecutiveFailures-2, 4)))
	}
}

// reconcileRuns settles each run by whether the worker has it.
func (c *Cell) reconcileRuns(now, sent time.Duration, w *worker, report Report) {
	listed := make(map[runKey]ActiveRun, len(report.Running))
	for _, r := range report.Running {
		listed[runKey{r.Task, r.Run}] = r
	}
	strangers := 0
	for _, r := range report.Running {
		if w.runs[runKey{r.Task, r.Run}] == nil {
			strangers++
			c.stopUnknownRun(w, r)
		}
	}
	w.unknownRuns = strangers
	if strangers > 0 {
		w.unknownRunsUntil = now + c.options.StopTime + stopMargin
	}
	for _, r := range w.sortedRuns() {
		if l, ok := listed[runKey{r.id, r.number}]; ok {
			c.confirmRun(now, r, l)
		} else if report.Complete {
			c.handleMissingRun(now, sent, w, r)
		}
	}
}

// stopUnknownRun stops a run that no record of this owner explains, such as one
// whose job has ended.
func (c *Cell) stopUnknownRun(w *worker, r ActiveRun) {
	c.log(LogEntry{Event: "unknown run stopped", Job: r.Task.Job, Task: r.Task.String(), Run: r.Run, Worker: w.ID})
	c.actions.Stops = append(c.actions.Stops, Stop{Worker: w.Worker, Task: r.Task, Run: r.Run})
	c.actions.Polls = append(c.actions.Polls, Poll{w.ID})
}

// confirmRun takes a run that the worker has.
func (c *Cell) confirmRun(now time.Duration, r *run, l ActiveRun) {
	c.applyEvent(r, "Seen")
	c.markBegun(now, r)
	// Reports overtake one another: one that was asked for before now and does not
	// have the run may be older than this one.
	r.confirmedAt = now
	if l.Percent != r.percent {
		r.percent, r.progressedAt = l.Percent, now
	}
	if s, t := c.findTask(r.id); s != nil && l.Checkpoint != "" && r.number == t.lastRun {
		t.checkpoint = l.Checkpoint
	}
}

// handleMissingRun takes a run that the worker doesn't have. Only a report that was asked for
// after the last answer about the run says something, and a run that may be stopping
// is in neither list.
func (c *Cell) handleMissingRun(now, sent time.Duration, w *worker, r *run) {
	switch r.state {
	case placed:
		return
	case withdrawing:
		if r.stopConfirmedAt == 0 || sent <= r.stopConfirmedAt+c.options.StopTime+stopMargin {
			return
		}
	case unsettled:
		// The earlier owner may have stopped it until it was replaced.
		if sent <= r.placedAt+c.options.StopTime+stopMargin {
			return
		}
	default:
		if sent <= r.confirmedAt {
			return
		}
	}
	c.applyEvent(r, "Absent")
	if r.state == withdrawing {
		c.sendStop(now, r)
		return
	}
	c.log(LogEntry{Event: "run lost", Job: r.id.Job, Task: r.id.String(), Run: r.number, Worker: w.ID, Reason: "the worker does not have it", Age: now - r.placedAt})
	c.closeRun(now, w, r)
}

func (w *worker) sortedRuns() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int {
		if a.placedAt != b.placedAt {
			return int(a.placedAt - b.placedAt)
		}
		if a.id.Index != b.id.Index {
			return a.id.Index - b.id.Index
		}
		return a.number - b.number
	})
	return runs
}

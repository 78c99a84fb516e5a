package cell

import (
	"cmp"
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

// Restore adds a job from the records of an earlier owner. Its open runs are assumed to be on
// their workers until these report, or until every lease that the earlier owner may have
// granted up to bound has expired.
func (c *Cell) Restore(now, bound time.Duration, w workload.Job, p Progress) {
	age := time.Duration(c.wallClock-w.Accepted) * time.Millisecond
	j := c.newJob(w, policyFromRecord(w, p), now-max(0, age))
	j.recorded = true
	if p.State != "" {
		j.state = p.State
	}
	c.addJob(j)
	c.addDueOccurrences(j.acceptedAt, j)
	// The clock of the earlier owner may have been ahead: an occurrence that it began counts as
	// due.
	for _, s := range p.Steps {
		for j.dueCount <= min(s.Occurrence, j.Occurrences()-1) {
			c.addOccurrence(j.acceptedAt, j)
		}
	}
	for _, s := range p.Steps {
		if !inRange(s.Occurrence, j.dueCount) || !inRange(s.Step, len(j.Steps)) {
			c.log(LogEntry{Event: "record ignored", Job: j.ID, Reason: "the record names a step that the job does not have"})
			continue
		}
		c.restoreStep(now, bound, j.stepOf(s.Occurrence, s.Step), s)
	}
	if j.state.Final() {
		// The earlier owner may not have stopped the runs.
		c.withdrawAll(now, j.openRuns(), "the job is "+string(j.state))
		c.markChanged(j)
	}
	// The end of the last task may have been recorded without that of the job.
	c.finishIfDone(now, j)
	c.stale = true
}

func (c *Cell) restoreStep(now, bound time.Duration, s *step, p StepProgress) {
	s.hadRun, s.lastFailedRun = true, p.FailedRun
	if s.Daemon {
		s.waitingSince = now
	}
	for i, t := range p.Tasks {
		if i >= len(s.tasks) {
			return
		}
		record := s.tasks[i]
		record.done, record.lastRun, record.failures, record.checkpoint = t.Done, t.Run, t.Failures, t.Checkpoint
		if t.Done {
			s.remaining--
		}
		if t.Done || t.Failures > 0 || t.Checkpoint != "" {
			s.job.started = true
		}
		for _, r := range t.Runs {
			c.restoreRun(now, bound, s, record, r)
		}
	}
	if s.Gang && s.remaining < len(s.tasks) {
		// Its tasks end together, and their records may have been written in parts.
		c.markDone(now, s, s.tasks[0])
	}
}

func (c *Cell) restoreRun(now, bound time.Duration, s *step, t *taskRecord, p RunProgress) {
	w := c.workers[p.Worker]
	if w == nil {
		// The worker is no longer announced; its runs end with its lease.
		w = &worker{Worker: workload.Worker{ID: p.Worker, Life: p.Life}, runs: map[runKey]*run{}, unlisted: true}
		c.addWorker(w)
	}
	w.grantedAt = max(w.grantedAt, bound)
	placedOn := w.Worker
	placedOn.Life = cmp.Or(p.Life, w.Life)
	r := &run{id: s.taskID(t), number: p.Run, size: s.Demand(), lasts: s.Daemon, worker: placedOn, state: runChart.Initial(), placedAt: now, progressedAt: now, restored: true, orderedShare: unknownShare}
	c.applyEvent(r, "Recover")
	// The earlier owner may have sent the order.
	r.order.claim()
	c.openRun(s, t, w, r)
}

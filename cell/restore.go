package cell

import (
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

// Restore takes a job from the records of an earlier owner. Its runs count as on
// their workers until these are heard, or until whatever lease the earlier owner
// may have granted has ended, which is at bound.
func (c *Cell) Restore(now, bound time.Duration, w workload.Job, p Progress) {
	age := time.Duration(c.wall-w.Accepted) * time.Millisecond
	j := newJob(w, now-max(0, age))
	j.recorded = true
	if p.State != "" {
		j.state = p.State
	}
	c.jobs[j.ID] = j
	c.makeDue(j.since, j)
	for _, s := range p.Steps {
		if !within(s.Occurrence, j.due) || !within(s.Step, len(j.Steps)) {
			c.note(Note{What: "record ignored", Job: j.ID, Why: "it names a step that the job lacks"})
			continue
		}
		c.restoreStep(now, bound, j.stepOf(s.Occurrence, s.Step), s)
	}
	if j.state.Final() {
		// The earlier owner may not have stopped them.
		c.withdrawAll(now, j.runs(), "the job is "+string(j.state))
		c.change(j)
	}
	c.stale = true
}

func (c *Cell) restoreStep(now, bound time.Duration, s *step, p StepProgress) {
	s.begun = true
	if s.Daemon {
		s.since = now
	}
	for i, t := range p.Tasks {
		if i >= len(s.tasks) {
			return
		}
		record := s.tasks[i]
		record.done, record.run, record.failures, record.checkpoint = t.Done, t.Run, t.Failures, t.Checkpoint
		if t.Done {
			s.left--
		}
		if t.Done || t.Failures > 0 || t.Checkpoint != "" {
			s.job.started = true
		}
		for _, r := range t.Runs {
			c.restoreRun(now, bound, s, record, r)
		}
	}
}

func (c *Cell) restoreRun(now, bound time.Duration, s *step, t *taskRecord, p RunProgress) {
	w := c.workers[p.Worker]
	if w == nil {
		// The worker is no longer announced; what runs there ends with its lease.
		w = &worker{Worker: workload.Worker{ID: p.Worker, Life: p.Life}, runs: map[runKey]*run{}, gone: true}
		c.addWorker(w)
	}
	w.granted = max(w.granted, bound)
	r := &run{id: s.taskID(t), number: p.Run, size: s.Room(), worker: w.Worker, state: runChart.Initial(), placedAt: now, progressed: now, restored: true, share: unknownShare}
	c.apply(r, "Recover")
	t.runs = append(t.runs, r)
	w.add(r)
}

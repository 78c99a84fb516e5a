package cell

import (
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

// failurePause keeps a task that failed from starting again at once, so that a
// worker that fails everything is found before it has used up all attempts.
const failurePause = 100 * time.Millisecond

// stopMargin is added to the time that a run takes to stop, for slow clocks.
const stopMargin = 50 * time.Millisecond

// stuckBound is how long a run may show no progress. Progress is in percent, and
// the longest tasks take some 160 ms for one.
const stuckBound = 3 * time.Second

// Heard takes the report of a worker that was asked for at sent. It returns the
// number of the last end that is counted, which the worker may forget once the
// changes are recorded.
func (c *Cell) Heard(now, sent time.Duration, id string, report Report) (seen int64) {
	w := c.workers[id]
	if w == nil {
		return 0
	}
	if report.Life != w.life {
		w.life, w.seen = report.Life, 0
	}
	newest := sent >= w.heard
	w.heard = max(w.heard, sent)
	for _, e := range report.Ended {
		if e.Number > w.seen {
			c.ended(now, w, e)
		}
	}
	for _, e := range report.Ended {
		w.seen = max(w.seen, e.Number)
	}
	if newest {
		c.compare(now, sent, w, report)
		c.share(now, w, report)
		c.checkSpeed(now, w)
	}
	c.dropIfEmpty(w)
	c.stale = true
	return w.seen
}

// ended takes the end of one run.
func (c *Cell) ended(now time.Duration, w *worker, e Ended) {
	r := w.runs[runKey{e.Task, e.Run}]
	if r == nil {
		c.note(Note{What: "end of an unknown run", Job: e.Task.Job, Task: e.Task.String(), Run: e.Run, Worker: w.ID, Why: string(e.How)})
		c.endedUnheard(now, e)
		return
	}
	c.note(Note{What: "run ended", Job: e.Task.Job, Task: e.Task.String(), Run: e.Run, Worker: w.ID, Why: string(e.How), Age: now - r.placedAt})
	c.apply(r, "Ended")
	s, t := c.find(e.Task)
	if s != nil {
		s.job.started = true
		c.count(now, w, s, t, e, r)
	}
	c.closeRun(now, w, r)
	if s != nil {
		c.settle(now, s.job)
	}
}

// endedUnheard takes the end of a run that counts as lapsed, since its worker was not
// heard for longer than a lease, also under an earlier owner. If it is done, its task is:
// the worker is about to forget the end, and the task must not run again after that.
func (c *Cell) endedUnheard(now time.Duration, e Ended) {
	s, t := c.find(e.Task)
	if s == nil || t.done || e.How != EndedDone || e.Run > t.run {
		return
	}
	c.done(now, s, t)
	for _, each := range s.tasks {
		if each.done {
			c.withdrawAll(now, each.runs, "an earlier run is done")
		}
	}
	c.settle(now, s.job)
}

// count draws the conclusion from the end of a run for its task.
func (c *Cell) count(now time.Duration, w *worker, s *step, t *taskRecord, e Ended, r *run) {
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	switch e.How {
	case EndedDone:
		w.strikes = 0
		if !s.Gang && !r.restored && e.Run == 1 && r.begun > 0 {
			c.speeds.learn(s.job.Queue, w, s.Estimate, now-r.begun)
		}
		c.done(now, s, t)
	case EndedFailed:
		w.failed(now)
		c.failed(now, s, t, e)
	case EndedLapsed, EndedAlone:
		t.notBefore = now + failurePause
	}
}

// done counts a task, or all tasks of a gang.
func (c *Cell) done(now time.Duration, s *step, t *taskRecord) {
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
		s.left--
		if !s.Gang {
			c.withdrawAll(now, each.runs, "another run is done")
		}
	}
	c.change(s.job)
}

// failed counts a failure and gives a job up that has no attempt left.
func (c *Cell) failed(now time.Duration, s *step, t *taskRecord, e Ended) {
	if t.done {
		return
	}
	t.notBefore = now + failurePause
	if s.Gang && s.failedRun == e.Run {
		// A gang fails as one; the failure of a run counts once.
		return
	}
	s.failedRun = e.Run
	t.failures++
	if s.Gang {
		for _, other := range s.tasks {
			other.failures = max(other.failures, t.failures)
			other.notBefore = t.notBefore
		}
	}
	c.change(s.job)
	queue, known := c.queues[s.job.Queue]
	if s.Daemon || !known || t.failures < queue.Attempts {
		return
	}
	c.finish(now, s.job, workload.Failed, "task "+e.Task.String()+" has no attempt left")
}

// failed counts a failed run of a worker; the fault may be the task's, so that the
// worker rests only from the second one on.
func (w *worker) failed(now time.Duration) {
	w.strikes++
	if w.strikes >= 2 {
		w.restUntil = max(w.restUntil, now+min(longestRest, firstRest<<min(w.strikes-2, 4)))
	}
}

// compare settles each run by whether the worker has it.
func (c *Cell) compare(now, sent time.Duration, w *worker, report Report) {
	listed := make(map[runKey]Running, len(report.Running))
	for _, r := range report.Running {
		listed[runKey{r.Task, r.Run}] = r
	}
	strangers := 0
	for _, r := range report.Running {
		if w.runs[runKey{r.Task, r.Run}] == nil {
			strangers++
			c.stopStranger(w, r)
		}
	}
	w.strangers = strangers
	if strangers > 0 {
		w.strangersUntil = now + c.options.StopTime + stopMargin
	}
	for _, r := range w.sortedRuns() {
		if l, ok := listed[runKey{r.id, r.number}]; ok {
			c.seen(now, r, l)
		} else if report.Complete {
			c.missing(now, sent, w, r)
		}
	}
}

// stopStranger stops a run that no record of this owner explains, such as one
// whose job has ended.
func (c *Cell) stopStranger(w *worker, r Running) {
	c.note(Note{What: "unknown run stopped", Job: r.Task.Job, Task: r.Task.String(), Run: r.Run, Worker: w.ID})
	c.actions.Stops = append(c.actions.Stops, Stop{Worker: w.Worker, Task: r.Task, Run: r.Run})
	c.actions.Looks = append(c.actions.Looks, Look{w.ID})
}

// seen takes a run that the worker has.
func (c *Cell) seen(now time.Duration, r *run, l Running) {
	c.apply(r, "Seen")
	c.begin(now, r)
	// Reports overtake one another: one that was asked for before now and does not
	// have the run may be older than this one.
	r.settledAt = now
	if l.Percent != r.percent {
		r.percent, r.progressed = l.Percent, now
	}
	if s, t := c.find(r.id); s != nil && l.Checkpoint != "" && r.number == t.run {
		t.checkpoint = l.Checkpoint
	}
}

// missing takes a run that the worker doesn't have. Only a report that was asked for
// after the last answer about the run says something, and a run that may be stopping
// is in neither list.
func (c *Cell) missing(now, sent time.Duration, w *worker, r *run) {
	switch r.state {
	case placed:
		return
	case withdrawing:
		if r.stopped == 0 || sent <= r.stopped+c.options.StopTime+stopMargin {
			return
		}
	case unsettled:
		// The earlier owner may have stopped it until it was replaced.
		if sent <= r.placedAt+c.options.StopTime+stopMargin {
			return
		}
	default:
		if sent <= r.settledAt {
			return
		}
	}
	c.apply(r, "Absent")
	if r.state == withdrawing {
		c.sendStop(now, r)
		return
	}
	c.note(Note{What: "run lost", Job: r.id.Job, Task: r.id.String(), Run: r.number, Worker: w.ID, Why: "the worker does not have it", Age: now - r.placedAt})
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

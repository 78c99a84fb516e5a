package cell

import (
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// job is a job that is not final, or whose runs have not all ended.
type job struct {
	workload.Job
	state workload.State
	// policy is that of the job now: that under which it was accepted, with the placement of the
	// newest catalogue that has its queue.
	policy workload.Policy
	// acceptedAt is when the job was submitted, on the cell's clock; it precedes this owner's
	// tenure if an earlier owner accepted the job.
	acceptedAt time.Duration
	// steps holds the steps of the occurrences that are due.
	steps []*step
	// chainEstimates holds, for each step, the estimated duration of the longest chain of
	// steps that begins with it; longestChain is the maximum. work is the cost of all steps
	// in processor-seconds. All are predictions of the version estimatedAt of the models.
	chainEstimates []time.Duration
	longestChain   time.Duration
	work           float64
	estimatedAt    int
	// dueCount is the number of occurrences that have been added to steps.
	dueCount  int
	isChanged bool
	// started reports whether a run is known to have begun; an order to start alone may have
	// had no effect.
	started bool
	// recorded reports whether the job itself was returned by TakeOutput to be recorded.
	recorded bool
}

// step is one occurrence of a step.
type step struct {
	workload.Step
	id    workload.StepID
	job   *job
	tasks []*taskRecord
	// remaining is the number of tasks that are not done.
	remaining int
	// hadRun reports whether any of the tasks has had a run.
	hadRun bool
	// waitingSince is when the occurrence became due, or when a task of a daemon last ended:
	// a service earns with each second that it is up, so its age must not make it late.
	waitingSince time.Duration
	tickets      tickets
	// lastFailedRun is the number of the last run whose failure was counted; a gang counts
	// one failure for each run.
	lastFailedRun int
	// tightDeadline is the result of hasTightDeadline at the last ranking.
	tightDeadline bool
	// deadline is the result of deadlineOf at the last ranking.
	deadline taskDeadline
	// bookedPlan is the plan of a gang that awaits its tickets.
	bookedPlan []*worker
	// preemptTriedAt is when preemption was last considered for the gang; 0 is never.
	preemptTriedAt time.Duration
	// preemptedUntil is when the runs that were preempted for the gang have stopped.
	preemptedUntil time.Duration
	// isHolding reports whether the gang held capacity when it was last evaluated.
	isHolding bool
	// reservedBefore is the headroom that the limit of its organisation reserves, in the current
	// scheduling pass, for steps ranked before.
	reservedBefore task.Size
}

// taskRecord is the state of one task.
type taskRecord struct {
	index    int
	done     bool
	lastRun  int
	failures int
	// checkpoint is the last one reported by a run.
	checkpoint string
	// runs holds the open runs.
	runs []*run
	// notBefore delays the next run of a task that failed.
	notBefore time.Duration
	// stuckRuns is the number of runs that were withdrawn because they made no progress.
	stuckRuns int
	// rate is the last observed progress of the first run in percent per second, on the
	// worker with the ID rateWorker; "" is none yet.
	rate       float64
	rateWorker string
}

func (s *step) taskID(t *taskRecord) workload.TaskID {
	return workload.TaskID{StepID: s.id, Index: t.index}
}

// needsRun reports whether a task waits for a run.
func (t *taskRecord) needsRun(now time.Duration) bool {
	return !t.done && len(t.runs) == 0 && now >= t.notBefore
}

// saveCheckpoint keeps a checkpoint that a run has reported. One that is too long for the record
// is ignored, so that the task resumes from an earlier one.
func (t *taskRecord) saveCheckpoint(checkpoint string) {
	if checkpoint != "" && len(checkpoint) <= MaxCheckpointBytes {
		t.checkpoint = checkpoint
	}
}

// Submit adds a job, which is accepted once it is recorded. It reports false if the job is
// known already.
func (c *Cell) Submit(now time.Duration, w workload.Job) bool {
	if c.jobs[w.ID] != nil {
		return false
	}
	j := c.newJob(w, w.Policy, now)
	c.addJob(j)
	c.addDueOccurrences(now, j)
	c.markChanged(j)
	c.log(LogEntry{Event: "job submitted", Job: w.ID, Reason: w.Queue, Objective: j.objective(j.queue()), Work: j.work})
	return true
}

// newJob returns a job that has not begun. policy is that of its last record.
func (c *Cell) newJob(w workload.Job, policy workload.Policy, acceptedAt time.Duration) *job {
	j := &job{Job: w, state: workload.Queued, policy: policy, acceptedAt: acceptedAt, chainEstimates: make([]time.Duration, len(w.Steps)), estimatedAt: neverEstimated}
	c.followCatalogue(j)
	c.updateEstimates(j)
	return j
}

// Abandon removes a job whose record has not been sent to the store, together with the runs
// that it has placed: no order to start is sent before its record. It reports false if the
// job is final or not known.
func (c *Cell) Abandon(now time.Duration, id string) bool {
	j := c.jobs[id]
	if j == nil || j.state.Final() {
		return false
	}
	c.removeJob(j)
	for _, r := range j.openRuns() {
		c.closeRun(now, c.workers[r.worker.ID], r)
	}
	c.log(LogEntry{Event: "job abandoned", Job: id, Reason: "the job could not be recorded"})
	return true
}

// State returns the state of a job that is not final or still has open runs.
func (c *Cell) State(id string) (workload.State, bool) {
	j := c.jobs[id]
	if j == nil {
		return "", false
	}
	return j.state, true
}

// Job returns a job that is not final or still has open runs.
func (c *Cell) Job(id string) (workload.Job, bool) {
	j := c.jobs[id]
	if j == nil {
		return workload.Job{}, false
	}
	return j.Job, true
}

// MayFinish reports whether a job may be done without the start of another run.
func (c *Cell) MayFinish(id string) bool {
	j := c.jobs[id]
	if j == nil || j.state.Final() || j.dueCount < j.Occurrences() {
		return false
	}
	for _, s := range j.steps {
		if s.remaining > 0 && (s.Daemon || !s.allBegun()) {
			return false
		}
	}
	return true
}

// allBegun reports whether all tasks of a step that are not done are known to run.
func (s *step) allBegun() bool {
	for _, t := range s.tasks {
		if !t.done && !slices.ContainsFunc(t.runs, func(r *run) bool { return r.state == running }) {
			return false
		}
	}
	return true
}

// Cancel ends a job and stops its runs. It reports false if the job is not known.
func (c *Cell) Cancel(now time.Duration, id string) bool {
	j := c.jobs[id]
	if j == nil {
		return false
	}
	// finish leaves a job that is final as it is.
	c.finish(now, j, workload.Cancelled, "the caller cancelled it")
	return true
}

// WaitingJobCount returns how many jobs of a queue are not known to have begun. It includes
// those that a removed queue accepted at the same host and prefix. Scheduled jobs do not count.
func (c *Cell) WaitingJobCount(queue string) int {
	n := 0
	q, exists := c.queues[queue]
	for _, j := range c.jobs {
		if j.started || j.state.Final() || j.Schedule.Count > 0 {
			continue
		}
		if j.Queue == queue || exists && j.policy.Accepts(q) && c.isOrphaned(j) {
			n++
		}
	}
	return n
}

// addDueOccurrences adds the steps of the occurrences that have become due.
func (c *Cell) addDueOccurrences(now time.Duration, j *job) {
	for j.dueCount < j.Occurrences() {
		if j.Schedule.Count > 0 && j.Schedule.Due(j.dueCount) > c.wallClock {
			return
		}
		c.addOccurrence(now, j)
	}
}

// addOccurrence adds the steps of the next occurrence.
func (c *Cell) addOccurrence(now time.Duration, j *job) {
	for i, s := range j.Steps {
		j.steps = append(j.steps, newStep(now, j, s, workload.StepID{Job: j.ID, Occurrence: j.dueCount, Step: i}))
	}
	j.dueCount++
	c.stale = true
}

func newStep(now time.Duration, j *job, s workload.Step, id workload.StepID) *step {
	created := &step{Step: s, id: id, job: j, remaining: s.TaskCount, waitingSince: now, tasks: make([]*taskRecord, s.TaskCount)}
	for i := range created.tasks {
		created.tasks[i] = &taskRecord{index: i}
	}
	return created
}

// dependenciesDone reports whether all steps that a step depends on are done.
func (s *step) dependenciesDone() bool {
	for _, a := range s.After {
		if s.job.stepOf(s.id.Occurrence, a).remaining > 0 {
			return false
		}
	}
	return true
}

func (j *job) stepOf(occurrence, index int) *step { return j.steps[occurrence*len(j.Steps)+index] }

// findTask returns the step and task with an ID, or nil. IDs come from other processes and
// may be out of range.
func (c *Cell) findTask(id workload.TaskID) (*step, *taskRecord) {
	j := c.jobs[id.Job]
	if j == nil || !inRange(id.Occurrence, j.dueCount) || !inRange(id.Step, len(j.Steps)) {
		return nil, nil
	}
	s := j.stepOf(id.Occurrence, id.Step)
	if !inRange(id.Index, len(s.tasks)) {
		return nil, nil
	}
	return s, s.tasks[id.Index]
}

// inRange reports whether index is valid for a list of the given length.
func inRange(index, length int) bool { return index >= 0 && index < length }

// finish sets the final state of a job and, unless it is done, withdraws its open runs.
func (c *Cell) finish(now time.Duration, j *job, state workload.State, reason string) {
	if j.state.Final() {
		return
	}
	j.state = state
	if state != workload.Done {
		c.withdrawAll(now, j.openRuns(), reason)
	}
	c.markChanged(j)
	c.log(LogEntry{Event: "job " + string(state), Job: j.ID, Reason: reason, Age: now - j.acceptedAt})
}

// finishIfDone finishes a job whose tasks are all done.
func (c *Cell) finishIfDone(now time.Duration, j *job) {
	if j.dueCount < j.Occurrences() {
		return
	}
	for _, s := range j.steps {
		if s.remaining > 0 {
			return
		}
	}
	c.finish(now, j, workload.Done, "all tasks are done")
}

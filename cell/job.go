package cell

import (
	"time"

	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// job is a job that is not final.
type job struct {
	workload.Job
	state workload.State
	// acceptedAt is when this owner learned of the job, on the cell's clock.
	acceptedAt time.Duration
	// steps holds the steps of the occurrences that are due.
	steps []*step
	// chainEstimates holds the estimate of the longest chain of steps from each step on,
	// chain the longest of all, and work the processor-seconds of all steps.
	chainEstimates []time.Duration
	longestChain   time.Duration
	work           float64
	// dueCount is how many occurrences were made into steps.
	dueCount  int
	isChanged bool
	// started tells that a run is known to have begun; an order to start may have had no
	// effect.
	started bool
	// recorded tells that the job itself was handed out to be recorded.
	recorded bool
}

// step is one occurrence of a step.
type step struct {
	workload.Step
	id    workload.StepID
	job   *job
	tasks []*taskRecord
	// remaining counts the tasks that are not done.
	remaining int
	// hadRun tells that a task has had a run.
	hadRun bool
	// waitingSince is when the occurrence was due, or when a task of a service last ended: a service
	// earns with each second that it is at work, however old it is.
	waitingSince time.Duration
	tickets      tickets
	// lastFailedRun is the last run of a gang whose failure was counted.
	lastFailedRun int
	// tightDeadline tells that the speed of its workers decides whether the job is in time, as
	// of the last ranking.
	tightDeadline bool
	// bookedPlan is the plan of a gang whose tickets are on their way.
	bookedPlan []*worker
}

// taskRecord is one task.
type taskRecord struct {
	index    int
	done     bool
	lastRun  int
	failures int
	// checkpoint is the last that a run has told.
	checkpoint string
	// runs holds those that are not closed.
	runs []*run
	// notBefore keeps a task that failed from starting again at once.
	notBefore time.Duration
}

func (s *step) taskID(t *taskRecord) workload.TaskID {
	return workload.TaskID{StepID: s.id, Index: t.index}
}

// needsRun reports whether a task needs a run.
func (t *taskRecord) needsRun(now time.Duration) bool {
	return !t.done && len(t.runs) == 0 && now >= t.notBefore
}

// Submit takes a job that is to be accepted once it is recorded. It reports false
// if the job is known.
func (c *Cell) Submit(now time.Duration, w workload.Job) bool {
	if c.jobs[w.ID] != nil {
		return false
	}
	j := newJob(w, now)
	c.jobs[w.ID] = j
	c.addDueOccurrences(now, j)
	c.markChanged(j)
	c.log(LogEntry{Event: "job submitted", Job: w.ID, Reason: w.Queue, Objective: j.objective(c.queues[w.Queue]), Work: j.work})
	return true
}

func newJob(w workload.Job, since time.Duration) *job {
	j := &job{Job: w, state: workload.Queued, acceptedAt: since, chainEstimates: make([]time.Duration, len(w.Steps))}
	for i := len(w.Steps) - 1; i >= 0; i-- {
		s := w.Steps[i]
		j.chainEstimates[i] += s.Estimate
		j.work += float64(s.TaskCount) * s.Estimate.Seconds() * float64(s.Size.Processors) / float64(task.Processor)
		for _, a := range s.After {
			j.chainEstimates[a] = max(j.chainEstimates[a], j.chainEstimates[i])
		}
		j.longestChain = max(j.longestChain, j.chainEstimates[i])
	}
	return j
}

// Abandon takes back a job whose record has not been sent to the store, with the runs
// that it has placed: no order to start goes out before its record. It reports false if
// the job is final or isn't known.
func (c *Cell) Abandon(now time.Duration, id string) bool {
	j := c.jobs[id]
	if j == nil || j.state.Final() {
		return false
	}
	delete(c.jobs, id)
	for _, r := range j.openRuns() {
		c.closeRun(now, c.workers[r.worker.ID], r)
	}
	c.log(LogEntry{Event: "job abandoned", Job: id, Reason: "it could not be recorded"})
	return true
}

// State returns the state of a job that is not over.
func (c *Cell) State(id string) (workload.State, bool) {
	j := c.jobs[id]
	if j == nil {
		return "", false
	}
	return j.state, true
}

// Cancel ends a job and stops its runs. It reports false if the job isn't known.
func (c *Cell) Cancel(now time.Duration, id string) bool {
	j := c.jobs[id]
	if j == nil {
		return false
	}
	// A job that is final stays so.
	c.finish(now, j, workload.Cancelled, "the caller cancelled it")
	return true
}

// WaitingJobCount returns how many jobs of a queue have not begun, as far as is known.
func (c *Cell) WaitingJobCount(queue string) int {
	n := 0
	for _, j := range c.jobs {
		if j.Queue == queue && !j.started && !j.state.Final() && j.Schedule.Count == 0 {
			n++
		}
	}
	return n
}

// addDueOccurrences makes steps of the occurrences whose time has come.
func (c *Cell) addDueOccurrences(now time.Duration, j *job) {
	for j.dueCount < j.Occurrences() {
		if j.Schedule.Count > 0 && j.Schedule.Due(j.dueCount) > c.wallClock {
			return
		}
		for i, s := range j.Steps {
			j.steps = append(j.steps, newStep(now, j, s, workload.StepID{Job: j.ID, Occurrence: j.dueCount, Step: i}))
		}
		j.dueCount++
		c.stale = true
	}
}

func newStep(now time.Duration, j *job, s workload.Step, id workload.StepID) *step {
	made := &step{Step: s, id: id, job: j, remaining: s.TaskCount, waitingSince: now, tasks: make([]*taskRecord, s.TaskCount)}
	for i := range made.tasks {
		made.tasks[i] = &taskRecord{index: i}
	}
	return made
}

// dependenciesDone reports whether all steps that a step comes after are done.
func (s *step) dependenciesDone() bool {
	for _, a := range s.After {
		if s.job.stepOf(s.id.Occurrence, a).remaining > 0 {
			return false
		}
	}
	return true
}

func (j *job) stepOf(occurrence, place int) *step { return j.steps[occurrence*len(j.Steps)+place] }

// findTask returns the step and task with a name, or nil. Names come from other processes.
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

// inRange reports whether a place is one of a number of places.
func inRange(place, places int) bool { return place >= 0 && place < places }

// finish gives a job its last state and withdraws what still runs.
func (c *Cell) finish(now time.Duration, j *job, state workload.State, why string) {
	if j.state.Final() {
		return
	}
	j.state = state
	if state != workload.Done {
		c.withdrawAll(now, j.openRuns(), why)
	}
	c.markChanged(j)
	c.log(LogEntry{Event: "job " + string(state), Job: j.ID, Reason: why, Age: now - j.acceptedAt})
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

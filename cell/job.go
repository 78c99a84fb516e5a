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
	// since is when this owner learned of the job, on the cell's clock.
	since time.Duration
	// steps holds the steps of the occurrences that are due.
	steps []*step
	// chains holds the estimate of the longest chain of steps from each step on,
	// chain the longest of all, and work the processor-seconds of all steps.
	chains []time.Duration
	chain  time.Duration
	work   float64
	// due is how many occurrences were made into steps.
	due       int
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
	// left counts the tasks that are not done.
	left int
	// begun tells that a task has had a run.
	begun bool
	// since is when the occurrence was due, or when a task of a service last ended: a service
	// earns with each second that it is at work, however old it is.
	since   time.Duration
	tickets tickets
	// failedRun is the last run of a gang whose failure was counted.
	failedRun int
	// hurries tells that the speed of its workers decides whether the job is in time, as
	// of the last ranking.
	hurries bool
	// booked is the plan of a gang whose tickets are on their way.
	booked []*worker
}

// taskRecord is one task.
type taskRecord struct {
	index    int
	done     bool
	run      int
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

// waits reports whether a task needs a run.
func (t *taskRecord) waits(now time.Duration) bool {
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
	c.makeDue(now, j)
	c.change(j)
	c.note(Note{What: "job submitted", Job: w.ID, Why: w.Queue, Aim: j.objective(c.queues[w.Queue]), Work: j.work})
	return true
}

func newJob(w workload.Job, since time.Duration) *job {
	j := &job{Job: w, state: workload.Queued, since: since, chains: make([]time.Duration, len(w.Steps))}
	for i := len(w.Steps) - 1; i >= 0; i-- {
		s := w.Steps[i]
		j.chains[i] += s.Estimate
		j.work += float64(s.Tasks) * s.Estimate.Seconds() * float64(s.Size.Processors) / float64(task.Processor)
		for _, a := range s.After {
			j.chains[a] = max(j.chains[a], j.chains[i])
		}
		j.chain = max(j.chain, j.chains[i])
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
	for _, r := range j.runs() {
		c.closeRun(now, c.workers[r.worker.ID], r)
	}
	c.note(Note{What: "job abandoned", Job: id, Why: "it could not be recorded"})
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

// Waiting returns how many jobs of a queue have not begun, as far as is known.
func (c *Cell) Waiting(queue string) int {
	n := 0
	for _, j := range c.jobs {
		if j.Queue == queue && !j.started && !j.state.Final() && j.Schedule.Times == 0 {
			n++
		}
	}
	return n
}

// makeDue makes steps of the occurrences whose time has come.
func (c *Cell) makeDue(now time.Duration, j *job) {
	for j.due < j.Occurrences() {
		if j.Schedule.Times > 0 && j.Schedule.Due(j.due) > c.wall {
			return
		}
		for i, s := range j.Steps {
			j.steps = append(j.steps, newStep(now, j, s, workload.StepID{Job: j.ID, Occurrence: j.due, Step: i}))
		}
		j.due++
		c.stale = true
	}
}

func newStep(now time.Duration, j *job, s workload.Step, id workload.StepID) *step {
	made := &step{Step: s, id: id, job: j, left: s.Tasks, since: now, tasks: make([]*taskRecord, s.Tasks)}
	for i := range made.tasks {
		made.tasks[i] = &taskRecord{index: i}
	}
	return made
}

// ready reports whether all steps that a step comes after are done.
func (s *step) ready() bool {
	for _, a := range s.After {
		if s.job.stepOf(s.id.Occurrence, a).left > 0 {
			return false
		}
	}
	return true
}

func (j *job) stepOf(occurrence, place int) *step { return j.steps[occurrence*len(j.Steps)+place] }

// find returns the step and task with a name, or nil. Names come from other processes.
func (c *Cell) find(id workload.TaskID) (*step, *taskRecord) {
	j := c.jobs[id.Job]
	if j == nil || !within(id.Occurrence, j.due) || !within(id.Step, len(j.Steps)) {
		return nil, nil
	}
	s := j.stepOf(id.Occurrence, id.Step)
	if !within(id.Index, len(s.tasks)) {
		return nil, nil
	}
	return s, s.tasks[id.Index]
}

// within reports whether a place is one of a number of places.
func within(place, places int) bool { return place >= 0 && place < places }

// finish gives a job its last state and withdraws what still runs.
func (c *Cell) finish(now time.Duration, j *job, state workload.State, why string) {
	if j.state.Final() {
		return
	}
	j.state = state
	if state != workload.Done {
		c.withdrawAll(now, j.runs(), why)
	}
	c.change(j)
	c.note(Note{What: "job " + string(state), Job: j.ID, Why: why, Age: now - j.since})
}

// settle finishes a job whose tasks are all done.
func (c *Cell) settle(now time.Duration, j *job) {
	if j.due < j.Occurrences() {
		return
	}
	for _, s := range j.steps {
		if s.left > 0 {
			return
		}
	}
	c.finish(now, j, workload.Done, "all tasks are done")
}

package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/chart"
	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/task"
)

// job is a piece of work with all that is known of it.
type job struct {
	work      task.Work
	key       task.Key
	team      *team
	partition string
	// allotment is the part of the team's quota that the job counts against.
	allotment *allotment
	// state is a state of the chart Request.
	state chart.State
	// size is what one task is given when it is placed.
	size  task.Size
	tasks []attempt
	// waiting, held and done count the tasks in these states.
	waiting, held, done int
	// waiters are the callers that wait for the final answer.
	waiters []uint64
	// first are the callers that want to know as soon as the work is accepted.
	first []uint64
	// answer is the final one; it matters in Ending and Answered.
	answer task.Answer
	// owed are entries that could not be made durable and must be recorded
	// again, in order.
	owed []record.Entry
	// line is the queue that holds the job, or nil; previous and next are its
	// neighbours there.
	line           *line
	previous, next *job
	// serial counts the jobs of the core.
	serial uint64
	// avoid is the rack that refused the job last.
	avoid string
	// timer is the next time at which something is due for the job.
	timer *timer
	// notBefore is when the job may be placed again after a refusal, and one
	// whose tasks start together also after a failure.
	notBefore time.Time
	// blocked is since when an all-at-once job has had no room; zero if it was
	// not refused.
	blocked time.Time
	// preempted is when other work was last preempted for the job.
	preempted time.Time
	// refusals counts the refusals since the last start.
	refusals int
	// recovered tells that the job was read from a journal.
	recovered bool
	// ran tells that an attempt has started, or may have: of work without a
	// record, an owner that failed may have started one at an earlier try.
	ran bool
	// restarting tells that an all-at-once job withdraws all its tasks, to
	// start them together again.
	restarting bool
	// overdue tells that the callers were told that the deadline has passed.
	overdue                   bool
	submitted, started, ended time.Time
}

// attempt is the current attempt of one task.
type attempt struct {
	// state is a state of the chart Attempt.
	state chart.State
	// number counts the attempts of the task from 1; 0 is none so far.
	number int
	rack   string
	worker string
	// epoch is that of the digest from which the rack was chosen; 0 is not known.
	epoch uint64
	// size is what the attempt was given.
	size task.Size
	// charged tells that size is counted in the usage of the team.
	charged bool
	// seen tells that the rack's owner reported the attempt as started.
	seen bool
	// failures counts the attempts that ended with an error of their own, and
	// losses those that were lost.
	failures, losses int
	// follows is a state of the chart Task, which tells what follows on the
	// attempt; another one begins no earlier than notBefore.
	follows chart.State
	// notBefore is when the task may be tried again after a failure.
	notBefore time.Time
	// outcome and body matter once state is Done.
	outcome task.Outcome
	body    []byte
	// asked is when the rack's owner was last asked about the attempt.
	asked time.Time
	// excess counts the measures against an attempt that outgrew its size, and
	// curbed is when the last was taken.
	excess int
	curbed time.Time
	// preempted tells that the attempt was checkpointed for other work.
	preempted bool
	// begun is when the worker was seen to have started the attempt.
	begun time.Time
}

// pending is an entry that is on its way to the journal.
type pending struct {
	job   *job
	entry record.Entry
}

func newJob(w task.Work, partition string, at time.Time) *job {
	j := &job{work: w, key: w.Key(), partition: partition, state: requestChart.Initial(), submitted: at}
	j.ran = !w.NeedsDurableRecord() && !w.FirstTry
	j.size = w.TaskSize()
	j.tasks = make([]attempt, w.Tasks)
	j.waiting = w.Tasks
	for i := range j.tasks {
		j.tasks[i].state = attemptChart.Initial()
	}
	return j
}

// step moves the job along the chart and reports whether the event is taken.
func (j *job) step(e chart.Event) bool {
	if !requestChart.Takes(j.state, e) {
		return false
	}
	j.state, _ = requestChart.Next(j.state, e)
	return true
}

// move moves the attempt of task i along the chart and reports whether the
// event is taken.
func (j *job) move(i int, e chart.Event) bool {
	a := &j.tasks[i]
	if !attemptChart.Takes(a.state, e) {
		return false
	}
	next, _ := attemptChart.Next(a.state, e)
	j.set(i, next)
	return true
}

// set changes the state of the attempt of task i and keeps the counts.
func (j *job) set(i int, s chart.State) {
	a := &j.tasks[i]
	j.count(a.state, -1)
	a.state = s
	j.count(s, 1)
}

func (j *job) count(s chart.State, n int) {
	switch s {
	case "Waiting":
		j.waiting += n
	case "Held":
		j.held += n
	case "Done":
		j.done += n
	}
}

// reset gives task i a new attempt that has not begun.
func (j *job) reset(i int) {
	j.set(i, attemptChart.Initial())
	a := &j.tasks[i]
	a.rack, a.worker, a.epoch, a.body, a.outcome = "", "", 0, nil, ""
	a.follow(retryTask)
	a.seen = false
	a.excess, a.preempted, a.begun = 0, false, time.Time{}
}

func (j *job) id(i int) task.AttemptID {
	return task.AttemptID{Work: j.key, Task: i, Number: j.tasks[i].number}
}

// active returns the number of attempts under way.
func (j *job) active() int { return len(j.tasks) - j.waiting - j.done }

// together reports whether the tasks of the job start all at once.
func (j *job) together() bool { return j.work.Kind == task.AllAtOnce && len(j.tasks) > 1 }

// placeable reports whether the job's waiting tasks may be placed.
func (j *job) placeable() bool {
	return j.waiting > 0 && !j.restarting && (j.state == "Queued" || j.state == "Started")
}

// current returns the answer as of now.
func (j *job) current() task.Answer {
	if requestChart.Final(j.state) {
		return j.answer
	}
	a := task.Answer{Team: j.work.Team, ID: j.work.ID, State: task.Accepted}
	running := 0
	for i := range j.tasks {
		if s := j.tasks[i].state; s == "Running" || s == "Done" && j.tasks[i].seen && !j.tasks[i].again() {
			running++
		}
		a.Workers = append(a.Workers, j.tasks[i].worker)
	}
	if running == len(j.tasks) {
		a.State = task.Running
		a.Waited = j.started.Sub(j.submitted)
	}
	return a
}

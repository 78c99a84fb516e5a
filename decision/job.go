package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/chart"
	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/task"
)

// job is a piece of work and its state.
type job struct {
	// heldBytes is the part of the job in the core's unfinishedBytes.
	heldBytes int64
	work      task.Work
	key       task.Key
	team      *team
	partition string
	// allotment is the part of the team's quota that the job is charged to.
	allotment *allotment
	// state is a state of the chart Request.
	state chart.State
	// size is the size that a task gets when it is placed.
	size  task.Size
	tasks []attempt
	// waitingCount, heldCount and doneCount are the numbers of tasks in the
	// states Waiting, Held and Done.
	waitingCount, heldCount, doneCount int
	// endWaiters are the callers that wait for the final answer.
	endWaiters []uint64
	// acceptWaiters are the callers that want an answer as soon as the work is
	// accepted.
	acceptWaiters []uint64
	// answer is the final answer; it is valid in the states Ending and
	// Answered.
	answer task.Answer
	// unrecorded holds the entries that must be recorded again because the
	// journal failed, in order.
	unrecorded []record.Entry
	// subqueue holds the job while it is queued, or is nil; previous and next
	// are the job's neighbours there.
	subqueue       *subqueue
	previous, next *job
	// serial numbers the jobs of the core in order of addition.
	serial uint64
	// avoidRack is the rack that refused the job last.
	avoidRack string
	// timer is when the job is next due, or nil.
	timer *timer
	// notBefore is the earliest time to place the job again after a refusal,
	// and for a gang also after a failure.
	notBefore time.Time
	// blockedSince is when an all-at-once job was first found not to fit; zero
	// if it was not.
	blockedSince time.Time
	// preemptedAt is when the job last tried to preempt other work.
	preemptedAt time.Time
	// refusalCount counts the refusals since the last start.
	refusalCount int
	// recovered reports whether the job was read from a journal.
	recovered bool
	// mayHaveStarted reports whether an attempt has started or may have: a
	// failed owner may have started work without a record at an earlier try.
	mayHaveStarted bool
	// restarting reports whether an all-at-once job is withdrawing all its
	// tasks in order to start them together again.
	restarting bool
	// deadlineReported reports whether the passing of the deadline has been
	// handled: the job ended or its callers were answered.
	deadlineReported                bool
	submittedAt, startedAt, endedAt time.Time
}

// attempt is the current attempt of one task.
type attempt struct {
	// state is a state of the chart Attempt.
	state chart.State
	// number counts the attempts of the task from 1; 0 is none so far.
	number int
	rack   string
	worker string
	// epoch is that of the digest by which the rack was chosen; 0 is unknown.
	epoch uint64
	// size is what the attempt was given.
	size task.Size
	// charged reports whether size is counted in the usage of the team.
	charged bool
	// reportedStarted reports whether the rack's owner reported the attempt as
	// started.
	reportedStarted bool
	// failures counts the attempts that ended with an error of the task itself,
	// and losses those that were lost.
	failures, losses int
	// taskState is a state of the chart Task: whether another attempt follows
	// this one. It begins no earlier than notBefore.
	taskState chart.State
	// notBefore is the earliest time to retry the task after a failure.
	notBefore time.Time
	// outcome and body are valid in the state Done.
	outcome task.Outcome
	body    []byte
	// lastCommandAt is when the last command about the attempt was sent to the
	// rack's owner.
	lastCommandAt time.Time
	// overuseCount counts the actions taken because the attempt outgrew its
	// size, and limitedAt is the time of the last.
	overuseCount int
	limitedAt    time.Time
	// preempted reports whether the attempt was checkpointed to make room for
	// other work.
	preempted bool
	// startedAt is when the report that the worker had started the attempt
	// arrived.
	startedAt time.Time
}

// pendingRecord is an entry in flight to the journal.
type pendingRecord struct {
	job   *job
	entry record.Entry
}

func newJob(w task.Work, partition string, at time.Time) *job {
	j := &job{work: w, key: w.Key(), partition: partition, state: requestChart.Initial(), submittedAt: at}
	j.mayHaveStarted = !w.NeedsDurableRecord() && !w.FirstTry
	j.size = w.TaskSize()
	j.tasks = make([]attempt, w.Tasks)
	j.waitingCount = w.Tasks
	for i := range j.tasks {
		j.tasks[i].state = attemptChart.Initial()
	}
	return j
}

// step applies an event of the chart Request and reports whether the current
// state accepts it.
func (j *job) step(e chart.Event) bool {
	if !requestChart.Accepts(j.state, e) {
		return false
	}
	j.state, _ = requestChart.Next(j.state, e)
	return true
}

// stepAttempt applies an event of the chart Attempt to the attempt of task i
// and reports whether its state accepts it.
func (j *job) stepAttempt(i int, e chart.Event) bool {
	a := &j.tasks[i]
	if !attemptChart.Accepts(a.state, e) {
		return false
	}
	next, _ := attemptChart.Next(a.state, e)
	j.setState(i, next)
	return true
}

// setState changes the state of the attempt of task i and updates the counts.
func (j *job) setState(i int, s chart.State) {
	a := &j.tasks[i]
	j.countState(a.state, -1)
	a.state = s
	j.countState(s, 1)
}

func (j *job) countState(s chart.State, n int) {
	switch s {
	case "Waiting":
		j.waitingCount += n
	case "Held":
		j.heldCount += n
	case "Done":
		j.doneCount += n
	}
}

// resetTask prepares task i for another attempt.
func (j *job) resetTask(i int) {
	j.setState(i, attemptChart.Initial())
	a := &j.tasks[i]
	a.rack, a.worker, a.epoch, a.body, a.outcome = "", "", 0, nil, ""
	a.stepTask(retryEvent)
	a.reportedStarted = false
	a.overuseCount, a.preempted, a.startedAt = 0, false, time.Time{}
}

func (j *job) attemptID(i int) task.AttemptID {
	return task.AttemptID{Work: j.key, Task: i, Number: j.tasks[i].number}
}

// activeCount returns the number of attempts that were chosen and have not
// ended.
func (j *job) activeCount() int { return len(j.tasks) - j.waitingCount - j.doneCount }

// isGang reports whether the tasks of the job must start together.
func (j *job) isGang() bool { return j.work.Kind == task.AllAtOnce && len(j.tasks) > 1 }

// placeable reports whether the job's waiting tasks may be placed.
func (j *job) placeable() bool {
	return j.waitingCount > 0 && !j.restarting && (j.state == "Queued" || j.state == "Started")
}

// currentAnswer returns the final answer, or the state of the job so far.
func (j *job) currentAnswer() task.Answer {
	if requestChart.Final(j.state) {
		return j.answer
	}
	a := task.Answer{Team: j.work.Team, ID: j.work.ID, State: task.Accepted}
	running := 0
	for i := range j.tasks {
		if s := j.tasks[i].state; s == "Running" || s == "Done" && j.tasks[i].reportedStarted && !j.tasks[i].willRetry() {
			running++
		}
		a.Workers = append(a.Workers, j.tasks[i].worker)
	}
	if running == len(j.tasks) {
		a.State = task.Running
		a.Waited = j.startedAt.Sub(j.submittedAt)
	}
	return a
}

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
	// waitingCount, held and done count the tasks in these states.
	waitingCount, heldCount, doneCount int
	// endWaiters are the callers that wait for the final answer.
	endWaiters []uint64
	// acceptWaiters are the callers that want to know as soon as the work is accepted.
	acceptWaiters []uint64
	// answer is the final one; it matters in Ending and Answered.
	answer task.Answer
	// unrecorded are entries that could not be made durable and must be recorded
	// again, in order.
	unrecorded []record.Entry
	// subqueue is the queue that holds the job, or nil; previous and next are its
	// neighbours there.
	subqueue       *subqueue
	previous, next *job
	// serial counts the jobs of the core.
	serial uint64
	// avoidRack is the rack that refused the job last.
	avoidRack string
	// timer is the next time at which something is due for the job.
	timer *timer
	// notBefore is when the job may be placed again after a refusal, and one
	// whose tasks start together also after a failure.
	notBefore time.Time
	// blockedSince is since when an all-at-once job has had no room; zero if it was
	// not refused.
	blockedSince time.Time
	// preemptedAt is when other work was last preempted for the job.
	preemptedAt time.Time
	// refusalCount counts the refusals since the last start.
	refusalCount int
	// recovered tells that the job was read from a journal.
	recovered bool
	// mayHaveStarted tells that an attempt has started, or may have: of work without a
	// record, an owner that failed may have started one at an earlier try.
	mayHaveStarted bool
	// restarting tells that an all-at-once job withdraws all its tasks, to
	// start them together again.
	restarting bool
	// deadlineReported tells that the callers were told that the deadline has passed.
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
	// epoch is that of the digest from which the rack was chosen; 0 is not known.
	epoch uint64
	// size is what the attempt was given.
	size task.Size
	// charged tells that size is counted in the usage of the team.
	charged bool
	// reportedStarted tells that the rack's owner reported the attempt as started.
	reportedStarted bool
	// failures counts the attempts that ended with an error of their own, and
	// losses those that were lost.
	failures, losses int
	// taskState is a state of the chart Task, which tells what follows on the
	// attempt; another one begins no earlier than notBefore.
	taskState chart.State
	// notBefore is when the task may be tried again after a failure.
	notBefore time.Time
	// outcome and body matter once state is Done.
	outcome task.Outcome
	body    []byte
	// askedAt is when the rack's owner was last asked about the attempt.
	askedAt time.Time
	// overuseCount counts the measures against an attempt that outgrew its size, and
	// curbed is when the last was taken.
	overuseCount int
	lastCurbed   time.Time
	// preempted tells that the attempt was checkpointed for other work.
	preempted bool
	// startedAt is when the worker was seen to have started the attempt.
	startedAt time.Time
}

// pendingRecord is an entry that is on its way to the journal.
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

// step moves the job along the chart and reports whether the event is taken.
func (j *job) step(e chart.Event) bool {
	if !requestChart.Takes(j.state, e) {
		return false
	}
	j.state, _ = requestChart.Next(j.state, e)
	return true
}

// stepAttempt moves the attempt of task i along the chart and reports whether the
// event is taken.
func (j *job) stepAttempt(i int, e chart.Event) bool {
	a := &j.tasks[i]
	if !attemptChart.Takes(a.state, e) {
		return false
	}
	next, _ := attemptChart.Next(a.state, e)
	j.setState(i, next)
	return true
}

// setState changes the state of the attempt of task i and keeps the counts.
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

// resetTask gives task i a new attempt that has not begun.
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

// activeCount returns the number of attempts under way.
func (j *job) activeCount() int { return len(j.tasks) - j.waitingCount - j.doneCount }

// isGang reports whether the tasks of the job start all at once.
func (j *job) isGang() bool { return j.work.Kind == task.AllAtOnce && len(j.tasks) > 1 }

// placeable reports whether the job's waiting tasks may be placed.
func (j *job) placeable() bool {
	return j.waitingCount > 0 && !j.restarting && (j.state == "Queued" || j.state == "Started")
}

// currentAnswer returns the answer as of now.
func (j *job) currentAnswer() task.Answer {
	if requestChart.Final(j.state) {
		return j.answer
	}
	a := task.Answer{Team: j.work.Team, ID: j.work.ID, State: task.Accepted}
	running := 0
	for i := range j.tasks {
		if s := j.tasks[i].state; s == "Running" || s == "Done" && j.tasks[i].reportedStarted && !j.tasks[i].retries() {
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

package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/task"
)

// Bounds of the backoff before a task that ended with an error of its own is
// retried.
const (
	minFailureBackoff = 100 * time.Millisecond
	maxFailureBackoff = 30 * time.Second
)

// maxLossFactor times Options.MaxAttempts is how often a task may be lost with
// its worker.
const maxLossFactor = 4

// onTaskDone decides what follows the end of an attempt.
func (c *Core) onTaskDone(j *job, i int) {
	a := &j.tasks[i]
	a.countFailure()
	if j.state == "Ending" {
		a.stepEnded(false)
		c.endIfDone(j)
		return
	}
	if a.outcome == task.Absent {
		c.retryAbsent(j, i)
		return
	}
	if j.restarting && !j.work.Idempotent {
		c.stopPartiallyStarted(j)
		return
	}
	retry := c.shouldRetry(j, a)
	if retry && !j.restarting {
		c.backOff(j, a)
	}
	a.stepEnded(retry || j.restarting)
	if j.work.NeedsDurableRecord() && (a.willRetry() || len(j.tasks) > 1) {
		c.record(j, record.Entry{Verb: record.End, At: c.now, Attempt: j.attemptID(i), Outcome: a.outcome, Body: a.body, Worker: a.worker})
	} else if a.willRetry() {
		c.forgetAttempt(j, i)
		c.resumeAfterEnd(j, i)
	}
	if retry && j.isGang() {
		c.restartGang(j)
	}
	c.endIfDone(j)
}

// retryAbsent requeues a task whose last attempt never started.
func (c *Core) retryAbsent(j *job, i int) {
	j.resetTask(i)
	if j.recovered && j.work.Kind == task.Request {
		c.endUnstarted(j)
		return
	}
	c.requeueOrRestart(j)
}

// countFailure counts the end of an attempt against the limits of its task.
func (a *attempt) countFailure() {
	switch a.outcome {
	case task.Broke:
		a.failures++
	case task.Lost:
		a.losses++
	}
}

// backOff delays the next attempt after a failure of the task itself or the end
// of a service replica; for a gang it delays all tasks.
func (c *Core) backOff(j *job, a *attempt) {
	if a.outcome != task.Broke && a.outcome != task.Succeeded {
		return
	}
	pause := min(minFailureBackoff<<min(a.failures, 16), maxFailureBackoff)
	if a.outcome == task.Broke && !j.team.takeRetry() {
		pause = exhaustedRetryWait
	}
	a.notBefore = c.now.Add(c.jitter(pause))
	if j.isGang() {
		j.notBefore = a.notBefore
	}
}

// resumeAfterEnd continues a task whose attempt's end is durable, after the
// backoff.
func (c *Core) resumeAfterEnd(j *job, i int) {
	a := &j.tasks[i]
	a.stepTask(keptEvent)
	if !a.willRetry() {
		return
	}
	if a.notBefore.After(c.now) && !j.isGang() {
		c.pauseTask(j, a)
		return
	}
	j.resetTask(i)
	c.requeueOrRestart(j)
}

// pauseTask leaves a task in the state Done until its backoff is over.
func (c *Core) pauseTask(j *job, a *attempt) {
	if j.activeCount() == 0 {
		j.step("Requeue")
	}
	c.wakeBy(j, a.notBefore)
}

// resumePaused continues the tasks whose backoff is over.
func (c *Core) resumePaused(j *job) {
	if j.doneCount == 0 {
		return
	}
	for i := range j.tasks {
		if a := &j.tasks[i]; a.state == "Done" && a.taskState == "Pausing" {
			c.resumeAfterEnd(j, i)
		}
	}
}

// requeueOrRestart queues the waiting tasks of a job again, or continues the
// restart of a gang.
func (c *Core) requeueOrRestart(j *job) {
	if j.restarting {
		c.restartIfDone(j)
		return
	}
	c.requeue(j)
}

// shouldRetry reports whether a task gets another attempt.
func (c *Core) shouldRetry(j *job, a *attempt) bool {
	switch {
	case a.outcome == task.Absent, j.work.Kind == task.Service:
		return true
	case a.outcome == task.Succeeded, !j.work.Idempotent:
		return false
	}
	return a.failures < c.options.MaxAttempts && a.losses < maxLossFactor*c.options.MaxAttempts
}

// endIfDone gives the final answer once every task is done.
func (c *Core) endIfDone(j *job) {
	if j.doneCount < len(j.tasks) || j.restarting {
		return
	}
	succeeded := true
	for i := range j.tasks {
		if j.tasks[i].willRetry() {
			return
		}
		succeeded = succeeded && j.tasks[i].outcome == task.Succeeded
	}
	if succeeded || j.answer.State == "" {
		c.endJob(j, j.result())
		return
	}
	c.endJob(j, j.answer)
}

// result returns the answer of a job whose tasks are all done.
func (j *job) result() task.Answer {
	a := task.Answer{Team: j.key.Team, ID: j.key.ID, State: task.Ran, Waited: j.startedAt.Sub(j.submittedAt)}
	for i := range j.tasks {
		t := &j.tasks[i]
		a.Workers = append(a.Workers, t.worker)
		a.Bodies = append(a.Bodies, t.body)
		switch t.outcome {
		case task.Broke:
			a.State, a.Code, a.Reason = task.Failed, CodeTaskFailed, "A task ended with an error."
		case task.Stopped, task.Lost:
			if a.State == task.Ran {
				a.State, a.Code, a.Reason = task.Unknown, CodeOutcomeUnknown, "It is not known how far a task came."
			}
		}
	}
	return a
}

// endJob records the final answer, or gives it at once if the job needs no
// record. It never answers NotRun for a job that may have started.
func (c *Core) endJob(j *job, answer task.Answer) {
	if j.state != "Ending" && !j.step("End") {
		return
	}
	c.unqueue(j)
	if answer.State == task.NotRun && j.mayHaveStarted {
		answer.State = task.Unknown
		answer.Reason = "A task may have started, but the work did not end in time."
	}
	j.answer = answer
	if !j.work.NeedsDurableRecord() {
		c.finish(j)
		return
	}
	if j.work.Kind == task.Request && answer.State == task.NotRun {
		// No owner begins a recorded request again.
		c.answerAll(j, answer)
	}
	c.recordFinal(j)
}

func (c *Core) recordFinal(j *job) {
	answer := j.answer
	c.record(j, record.Entry{Verb: record.Final, At: c.now, Answer: &answer})
}

// finish gives the final answer and lets the workers forget the attempts.
func (c *Core) finish(j *job) {
	if !j.step("EndRecorded") {
		return
	}
	j.endedAt = c.now
	c.markFinished(j)
	c.answerAll(j, j.answer)
	for i := range j.tasks {
		c.forgetAttempt(j, i)
	}
	c.cancelTimer(j)
	c.wakeBy(j, c.now.Add(c.options.retention(j.work)))
}

func (c *Core) forgetAttempt(j *job, i int) {
	if j.tasks[i].number > 0 && j.tasks[i].rack != "" {
		c.sendCommand(j, i, Forget)
	}
}

func (c *Core) answerAll(j *job, answer task.Answer) {
	for _, caller := range j.acceptWaiters {
		c.emit(Reply{Caller: caller, Answer: answer})
	}
	for _, caller := range j.endWaiters {
		c.emit(Reply{Caller: caller, Answer: answer})
	}
	j.acceptWaiters, j.endWaiters = nil, nil
}

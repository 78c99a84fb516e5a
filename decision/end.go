package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/task"
)

// Pauses before a task is tried again that ended with an error of its own.
const (
	failurePause      = 100 * time.Millisecond
	failurePauseLimit = 30 * time.Second
)

// lossFactor is how many times Options.Attempts a task may be lost with its
// worker.
const lossFactor = 4

// taskDone decides what follows the end of an attempt.
func (c *Core) taskDone(j *job, i int) {
	a := &j.tasks[i]
	a.countEnd()
	if j.state == "Ending" {
		a.end(false)
		c.endIfDone(j)
		return
	}
	if a.outcome == task.Absent {
		c.absent(j, i)
		return
	}
	if j.restarting && !j.work.Idempotent {
		c.stopPartial(j)
		return
	}
	again := c.again(j, a)
	if again && !j.restarting {
		c.backOff(j, a)
	}
	a.end(again || j.restarting)
	if j.work.NeedsDurableRecord() && (a.again() || len(j.tasks) > 1) {
		c.record(j, record.Entry{Verb: record.End, At: c.now, Attempt: j.id(i), Outcome: a.outcome, Body: a.body, Worker: a.worker})
	} else if a.again() {
		c.forgetTask(j, i)
		c.endKept(j, i)
	}
	if again && j.together() {
		c.restartTogether(j)
	}
	c.endIfDone(j)
}

// absent gives another attempt to a task of which the last never started.
func (c *Core) absent(j *job, i int) {
	j.reset(i)
	if j.recovered && j.work.Kind == task.Request {
		c.endUnstarted(j)
		return
	}
	c.goOn(j)
}

// countEnd notes an end that counts against the attempts of the task.
func (a *attempt) countEnd() {
	switch a.outcome {
	case task.Broke:
		a.failures++
	case task.Lost:
		a.losses++
	}
}

// backOff sets a pause after failures of the work itself: of the task alone, or
// of all tasks if they start together.
func (c *Core) backOff(j *job, a *attempt) {
	if a.outcome != task.Broke && a.outcome != task.Succeeded {
		return
	}
	pause := min(failurePause<<min(a.failures, 16), failurePauseLimit)
	if a.outcome == task.Broke && !j.team.retry() {
		pause = retrySpentWait
	}
	a.notBefore = c.now.Add(c.jitter(pause))
	if j.together() {
		j.notBefore = a.notBefore
	}
}

// endKept goes on with a task whose end is durable, once its pause is over.
func (c *Core) endKept(j *job, i int) {
	a := &j.tasks[i]
	a.follow(keepTask)
	if !a.again() {
		return
	}
	if a.notBefore.After(c.now) && !j.together() {
		c.pause(j, a)
		return
	}
	j.reset(i)
	c.goOn(j)
}

// pause leaves an attempt done until its task may have another one.
func (c *Core) pause(j *job, a *attempt) {
	if j.active() == 0 {
		j.step("Requeue")
	}
	c.wakeBy(j, a.notBefore)
}

// endPauses goes on with the tasks whose pauses are over.
func (c *Core) endPauses(j *job) {
	if j.done == 0 {
		return
	}
	for i := range j.tasks {
		if a := &j.tasks[i]; a.state == "Done" && a.follows == "Pausing" {
			c.endKept(j, i)
		}
	}
}

// goOn queues the waiting tasks of a job again.
func (c *Core) goOn(j *job) {
	if j.restarting {
		c.restartIfDone(j)
		return
	}
	c.requeue(j)
}

// again reports whether a task gets another attempt.
func (c *Core) again(j *job, a *attempt) bool {
	switch {
	case a.outcome == task.Absent, j.work.Kind == task.Service:
		return true
	case a.outcome == task.Succeeded, !j.work.Idempotent:
		return false
	}
	return a.failures < c.options.MaxAttempts && a.losses < lossFactor*c.options.MaxAttempts
}

// endIfDone gives the final answer once every task is done.
func (c *Core) endIfDone(j *job) {
	if j.done < len(j.tasks) || j.restarting {
		return
	}
	succeeded := true
	for i := range j.tasks {
		if j.tasks[i].again() {
			return
		}
		succeeded = succeeded && j.tasks[i].outcome == task.Succeeded
	}
	if succeeded || j.answer.State == "" {
		c.end(j, j.result())
		return
	}
	c.end(j, j.answer)
}

// result returns the answer of a job whose tasks are all done.
func (j *job) result() task.Answer {
	a := task.Answer{Team: j.key.Team, ID: j.key.ID, State: task.Ran, Waited: j.started.Sub(j.submitted)}
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

// end records the final answer, or gives it at once if the job needs no record.
// A job of which something may have started is never said not to have run.
func (c *Core) end(j *job, answer task.Answer) {
	if j.state != "Ending" && !j.step("End") {
		return
	}
	c.unqueue(j)
	if answer.State == task.NotRun && j.ran {
		answer.State = task.Unknown
		answer.Reason = "A task may have started, but the work did not end in time."
	}
	j.answer = answer
	if !j.work.NeedsDurableRecord() {
		c.finish(j)
		return
	}
	if j.work.Kind == task.Request && answer.State == task.NotRun {
		// No owner ever begins a recorded request again.
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
	j.ended = c.now
	c.answerAll(j, j.answer)
	for i := range j.tasks {
		c.forgetTask(j, i)
	}
	c.sleep(j)
	c.wakeBy(j, c.now.Add(c.options.remember(j.work)))
}

func (c *Core) forgetTask(j *job, i int) {
	if j.tasks[i].number > 0 && j.tasks[i].rack != "" {
		c.command(j, i, Forget)
	}
}

func (c *Core) answerAll(j *job, answer task.Answer) {
	for _, caller := range j.first {
		c.emit(Reply{Caller: caller, Answer: answer})
	}
	for _, caller := range j.waiters {
		c.emit(Reply{Caller: caller, Answer: answer})
	}
	j.first, j.waiters = nil, nil
}

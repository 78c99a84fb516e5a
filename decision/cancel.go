package decision

import "github.com/vanillaquay/vanillaquay/task"

// cancel ends a job: waiting tasks never start, and running attempts are
// stopped.
func (c *Core) cancel(e Cancelled) {
	j, ok := c.jobs[e.Key]
	if !ok {
		c.emit(Reply{Caller: e.Caller, Answer: c.unknownIDAnswer(e.Key)})
		return
	}
	if requestChart.Final(j.state) {
		c.joinCaller(j, e.Caller, true)
		return
	}
	j.endWaiters = append(j.endWaiters, e.Caller)
	if !j.step("Cancel") {
		return
	}
	c.stopJob(j, task.Answer{Team: e.Key.Team, ID: e.Key.ID, State: task.Cancelled, Code: CodeCancelled,
		Reason: "The work was cancelled by its caller."})
}

// checkDeadline handles a passed deadline: it ends a job that still waits and a
// request that has not ended, and tells the callers of other work, which
// continues.
func (c *Core) checkDeadline(j *job) {
	if j.deadlineReported || j.work.Deadline.IsZero() || c.now.Before(j.work.Deadline) {
		return
	}
	if j.state == "Recording" || j.state == "Doubted" {
		c.wakeBy(j, c.now.Add(recordRetryInterval))
		return
	}
	j.deadlineReported = true
	if j.state == "Ending" && (j.answer.State == task.Ran || j.answer.State == task.Failed) {
		// The worker keeps the end until its record is durable, so that the
		// answer holds even if this owner fails.
		c.answerAll(j, j.answer)
		return
	}
	if j.state == "Queued" || j.state == "Started" && j.work.Kind == task.Request {
		j.step("Refuse")
		c.stopJob(j, task.Refusal(j.key, CodeDeadlinePassed, "The deadline passed before there was room.", DefaultRetryAfter))
		if j.doneCount == len(j.tasks) {
			return
		}
	}
	answer := j.currentAnswer()
	if j.work.Kind == task.Request || j.state == "Ending" {
		answer.State = task.Unknown
	}
	answer.Code, answer.RetryAfter = CodeDeadlinePassed, DefaultRetryAfter
	answer.Reason = "The deadline has passed and the work has not ended; ask again."
	c.answerAll(j, answer)
}

// stopJob ends a job with an answer and withdraws every attempt.
func (c *Core) stopJob(j *job, answer task.Answer) {
	if j.state != "Ending" && !j.step("End") {
		return
	}
	j.answer = answer
	j.restarting = false
	c.unqueue(j)
	for i := range j.tasks {
		j.tasks[i].stepTask(stopEvent)
		c.withdrawTask(j, i)
	}
	c.endIfDone(j)
}

// withdrawTask stops the attempt of task i or prevents it from starting.
func (c *Core) withdrawTask(j *job, i int) {
	a := &j.tasks[i]
	if a.state == "Withdrawing" || !j.stepAttempt(i, "Withdraw") {
		return
	}
	if a.state == "Withdrawing" {
		c.sendCommand(j, i, Withdraw)
		return
	}
	// No command was sent, so the attempt can't have started.
	a.outcome = task.Absent
	c.release(j, i)
}

package decision

import "github.com/vanillaquay/vanillaquay/task"

// cancel ends a job: what has not started never will, what runs is stopped.
func (c *Core) cancel(e Cancelled) {
	j, ok := c.jobs[e.Key]
	if !ok {
		c.emit(Reply{Caller: e.Caller, Answer: c.unknownIDAnswer(e.Key)})
		return
	}
	if requestChart.Final(j.state) {
		c.emit(Reply{Caller: e.Caller, Answer: j.answer})
		return
	}
	j.endWaiters = append(j.endWaiters, e.Caller)
	if !j.step("Cancel") {
		return
	}
	c.stopJob(j, task.Answer{Team: e.Key.Team, ID: e.Key.ID, State: task.Cancelled, Code: CodeCancelled,
		Reason: "The work was cancelled by its caller."})
}

// checkDeadline ends a job whose deadline passed while it waited, and a request
// that has not ended by then. Other work goes on late; its callers are told so.
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
		// answer stands also if this owner fails.
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
	late := j.currentAnswer()
	if j.work.Kind == task.Request || j.state == "Ending" {
		late.State = task.Unknown
	}
	late.Code, late.RetryAfter = CodeDeadlinePassed, DefaultRetryAfter
	late.Reason = "The deadline has passed and the work has not ended; ask again."
	c.answerAll(j, late)
}

// stopJob ends a job with an answer: every attempt is withdrawn.
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

// withdrawTask stops the attempt of task i, or forbids it to start.
func (c *Core) withdrawTask(j *job, i int) {
	a := &j.tasks[i]
	if a.state == "Withdrawing" || !j.stepAttempt(i, "Withdraw") {
		return
	}
	if a.state == "Withdrawing" {
		c.sendCommand(j, i, Withdraw)
		return
	}
	// Nothing was sent.
	a.outcome = task.Absent
	c.release(j, i)
}

package decision

import "github.com/vanillaquay/vanillaquay/task"

// cancel ends a job: what has not started never will, what runs is stopped.
func (c *Core) cancel(e Cancelled) {
	j, ok := c.jobs[e.Key]
	if !ok {
		c.emit(Reply{Caller: e.Caller, Answer: c.unknownID(e.Key)})
		return
	}
	if requestChart.Final(j.state) {
		c.emit(Reply{Caller: e.Caller, Answer: j.answer})
		return
	}
	j.waiters = append(j.waiters, e.Caller)
	if !j.step("Cancel") {
		return
	}
	c.stop(j, task.Answer{Team: e.Key.Team, ID: e.Key.ID, State: task.Cancelled, Code: CodeCancelled,
		Reason: "The work was cancelled by its caller."})
}

// checkDeadline ends a job whose deadline passed while it waited, and a request
// that has not ended by then. Other work goes on late; its callers are told so.
func (c *Core) checkDeadline(j *job) {
	if j.overdue || j.work.Deadline.IsZero() || c.now.Before(j.work.Deadline) {
		return
	}
	if j.state == "Recording" || j.state == "Doubted" {
		c.wakeBy(j, c.now.Add(recordPause))
		return
	}
	j.overdue = true
	if j.state == "Ending" && (j.answer.State == task.Ran || j.answer.State == task.Failed) {
		// The worker keeps the end until its record is durable, so that the
		// answer stands also if this owner fails.
		c.answerAll(j, j.answer)
		return
	}
	if j.state == "Queued" || j.state == "Started" && j.work.Kind == task.Request {
		j.step("Refuse")
		c.stop(j, task.Refusal(j.key, CodeDeadlinePassed, "The deadline passed before there was room.", DefaultRetryAfter))
		if j.done == len(j.tasks) {
			return
		}
	}
	late := j.current()
	if j.work.Kind == task.Request || j.state == "Ending" {
		late.State = task.Unknown
	}
	late.Code, late.RetryAfter = CodeDeadlinePassed, DefaultRetryAfter
	late.Reason = "The deadline has passed and the work has not ended; ask again."
	c.answerAll(j, late)
}

// stop ends a job with an answer: every attempt is withdrawn.
func (c *Core) stop(j *job, answer task.Answer) {
	if j.state != "Ending" && !j.step("End") {
		return
	}
	j.answer = answer
	j.restarting = false
	c.unqueue(j)
	for i := range j.tasks {
		j.tasks[i].follow(stopTask)
		c.withdraw(j, i)
	}
	c.endIfDone(j)
}

// withdraw stops the attempt of task i, or forbids it to start.
func (c *Core) withdraw(j *job, i int) {
	a := &j.tasks[i]
	if a.state == "Withdrawing" || !j.move(i, "Withdraw") {
		return
	}
	if a.state == "Withdrawing" {
		c.command(j, i, Withdraw)
		return
	}
	// Nothing was sent.
	a.outcome = task.Absent
	c.discharge(j, i)
}

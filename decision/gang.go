package decision

import "github.com/vanillaquay/vanillaquay/task"

// confirmAll starts the held tasks of a gang once each task has capacity.
func (c *Core) confirmAll(j *job) {
	for i := range j.tasks {
		c.confirm(j, i)
	}
}

func (c *Core) confirm(j *job, i int) {
	if j.stepAttempt(i, "Confirm") {
		c.sendCommand(j, i, Confirm)
	}
}

// anyConfirmed reports whether a task of the gang was confirmed, which implies
// that all of them had capacity then.
func (j *job) anyConfirmed() bool {
	for i := range j.tasks {
		a := &j.tasks[i]
		if a.state == "Running" || a.state == "Confirming" || a.state == "Done" && a.reportedStarted {
			return true
		}
	}
	return false
}

// restartGang withdraws all tasks of a gang after one was refused or has
// failed. Once all have ended, they start together again, unless the job may
// have started and is not idempotent.
func (c *Core) restartGang(j *job) {
	if j.restarting || j.state == "Ending" {
		return
	}
	if j.mayHaveStarted && !j.work.Idempotent {
		c.stopPartiallyStarted(j)
		return
	}
	j.restarting = true
	c.unqueue(j)
	for i := range j.tasks {
		if j.tasks[i].state != attemptChart.Initial() {
			c.withdrawTask(j, i)
		}
	}
	c.restartIfDone(j)
}

// stopPartiallyStarted ends a job that is not idempotent and of which only some
// tasks could start.
func (c *Core) stopPartiallyStarted(j *job) {
	c.stopJob(j, task.Answer{Team: j.key.Team, ID: j.key.ID, State: task.Unknown, Code: CodeOutcomeUnknown,
		Reason: "Some tasks started, but not all of them could; those that did were stopped."})
}

// restartIfDone requeues a restarting gang once all its attempts have ended.
func (c *Core) restartIfDone(j *job) {
	if !j.restarting || j.activeCount() > 0 {
		return
	}
	for i := range j.tasks {
		if j.tasks[i].willRetry() {
			return
		}
	}
	for i := range j.tasks {
		if j.tasks[i].state == "Done" {
			j.resetTask(i)
		}
	}
	j.restarting = false
	c.requeue(j)
}

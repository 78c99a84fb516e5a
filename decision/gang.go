package decision

import "github.com/vanillaquay/vanillaquay/task"

// confirmAll starts an all-at-once job once each of its tasks has room.
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

// anyConfirmed reports whether the tasks were told to start: all of them had room
// then.
func (j *job) anyConfirmed() bool {
	for i := range j.tasks {
		a := &j.tasks[i]
		if a.state == "Running" || a.state == "Confirming" || a.state == "Done" && a.reportedStarted {
			return true
		}
	}
	return false
}

// restartGang withdraws all tasks of an all-at-once job of which one can't
// start or has failed. Once all have ended, they start together again, unless a
// task has run that must not run twice.
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

// stopPartiallyStarted ends a job of which some tasks started that must not run twice,
// and others could not.
func (c *Core) stopPartiallyStarted(j *job) {
	c.stopJob(j, task.Answer{Team: j.key.Team, ID: j.key.ID, State: task.Unknown, Code: CodeOutcomeUnknown,
		Reason: "Some tasks started, but not all of them could; those that did were stopped."})
}

// restartIfDone queues a job again of which no attempt is under way.
func (c *Core) restartIfDone(j *job) {
	if !j.restarting || j.activeCount() > 0 {
		return
	}
	for i := range j.tasks {
		if j.tasks[i].retries() {
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

package decision

import "github.com/vanillaquay/vanillaquay/task"

// confirmAll starts an all-at-once job once each of its tasks has room.
func (c *Core) confirmAll(j *job) {
	for i := range j.tasks {
		c.confirm(j, i)
	}
}

func (c *Core) confirm(j *job, i int) {
	if j.move(i, "Confirm") {
		c.command(j, i, Confirm)
	}
}

// confirmed reports whether the tasks were told to start: all of them had room
// then.
func (j *job) confirmed() bool {
	for i := range j.tasks {
		a := &j.tasks[i]
		if a.state == "Running" || a.state == "Confirming" || a.state == "Done" && a.seen {
			return true
		}
	}
	return false
}

// restartTogether withdraws all tasks of an all-at-once job of which one can't
// start or has failed. Once all have ended, they start together again, unless a
// task has run that must not run twice.
func (c *Core) restartTogether(j *job) {
	if j.restarting || j.state == "Ending" {
		return
	}
	if j.ran && !j.work.Idempotent {
		c.stopPartial(j)
		return
	}
	j.restarting = true
	c.unqueue(j)
	for i := range j.tasks {
		if j.tasks[i].state != attemptChart.Initial() {
			c.withdraw(j, i)
		}
	}
	c.restartIfDone(j)
}

// stopPartial ends a job of which some tasks started that must not run twice,
// and others could not.
func (c *Core) stopPartial(j *job) {
	c.stop(j, task.Answer{Team: j.key.Team, ID: j.key.ID, State: task.Unknown, Code: CodeOutcomeUnknown,
		Reason: "Some tasks started, but not all of them could; those that did were stopped."})
}

// restartIfDone queues a job again of which no attempt is under way.
func (c *Core) restartIfDone(j *job) {
	if !j.restarting || j.active() > 0 {
		return
	}
	for i := range j.tasks {
		if j.tasks[i].again() {
			return
		}
	}
	for i := range j.tasks {
		if j.tasks[i].state == "Done" {
			j.reset(i)
		}
	}
	j.restarting = false
	c.requeue(j)
}

package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// overuseInterval is the pause between two measures against an attempt that uses
// more than it was given.
const overuseInterval = 5 * time.Second

// sizeOf returns what a task of the job is given: what is learned of its family,
// if a worker is as large as that.
func (c *Core) sizeOf(j *job) task.Size {
	declared := j.work.TaskSize()
	learned := c.familyOf(j.work).learnedSize(declared)
	if learned == declared || !c.cell.fitsEmptyWorker(learned, c.now) {
		return declared
	}
	if q := j.allotment.quota; !q.IsZero() && !withinQuota(learned.Times(int64(c.concurrentTasks(j.work))), q) {
		return declared
	}
	return learned
}

// expectedRunTime returns for how long a task of the job is expected to run, as learned
// or else as declared; 0 is not known.
func (c *Core) expectedRunTime(j *job) time.Duration {
	if learned := c.familyOf(j.work).longestRunTime(); learned > 0 {
		return learned
	}
	return j.work.RunTime
}

// onUsage learns from what an attempt uses, and acts if it outgrows what it was
// given.
func (c *Core) onUsage(u Usage) {
	j, ok := c.jobs[u.Attempt.Work]
	if !ok || u.Attempt.Task < 0 || u.Attempt.Task >= len(j.tasks) {
		return
	}
	c.familyOf(j.work).addUsage(u.Used)
	a := &j.tasks[u.Attempt.Task]
	if a.number != u.Attempt.Number || a.state != "Running" {
		return
	}
	over := u.Used.Processors > a.size.Processors || u.Used.Memory > a.size.Memory
	if !over {
		a.overuseCount = 0
		return
	}
	c.limitOveruse(j, u.Attempt.Task)
}

// limitOveruse limits an attempt to what it was given. One that goes on to use more is
// checkpointed, and then stopped, if its task may run again.
func (c *Core) limitOveruse(j *job, i int) {
	a := &j.tasks[i]
	if a.overuseCount > 0 && c.now.Sub(a.lastCurbed) < overuseInterval {
		return
	}
	a.lastCurbed = c.now
	a.overuseCount++
	again := j.work.Idempotent || j.work.Kind == task.Service
	switch {
	case a.overuseCount == 1 || !again:
		c.sendCommand(j, i, Throttle)
	case a.overuseCount == 2:
		c.sendCommand(j, i, Checkpoint)
	default:
		c.sendCommand(j, i, Withdraw)
	}
}

// learnFromEnd learns from the end of an attempt.
func (c *Core) learnFromEnd(j *job, i int, used task.Size) {
	a := &j.tasks[i]
	f := c.familyOf(j.work)
	f.addUsage(used)
	ran := c.now.Sub(a.startedAt)
	if a.outcome == task.Succeeded {
		j.team.refillRetries()
	}
	if a.outcome == task.Succeeded && !a.startedAt.IsZero() {
		f.addRunTime(ran)
	}
	c.updateHealth(j, a, f)
	if a.outcome == task.Succeeded || a.outcome == task.Broke {
		f.addEnd(a.outcome == task.Succeeded)
	}
	if !a.startedAt.IsZero() {
		c.wasteBudget.addEnded(a, ran)
	}
}

package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// overuseInterval is the minimum time between two actions against an attempt
// that uses more than it was given.
const overuseInterval = 5 * time.Second

// sizeOf returns the size that a task of the job gets: the learned size of its
// family if a worker and the quota are large enough for that, otherwise the
// declared size.
func (c *Core) sizeOf(j *job) task.Size {
	declared := j.work.TaskSize()
	learned := c.familyOf(j.work).learnedSize(declared)
	if learned == declared || !c.cell.fitsEmptyWorker(learned, c.now) {
		return declared
	}
	if !learned.Times(int64(c.concurrentTasks(j.work))).Fits(j.allotment.quota.Headroom(task.Size{})) {
		return declared
	}
	return learned
}

// expectedRunTime returns the learned or else the declared run time of a task
// of the job; 0 is unknown.
func (c *Core) expectedRunTime(j *job) time.Duration {
	if learned := c.familyOf(j.work).longestRunTime(); learned > 0 {
		return learned
	}
	return j.work.RunTime
}

// onUsage updates the statistics with the usage of an attempt and limits the
// attempt if it uses more than it was given.
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
	exceeded := u.Used.Processors > a.size.Processors || u.Used.Memory > a.size.Memory
	if !exceeded {
		a.overuseCount = 0
		return
	}
	c.limitOveruse(j, u.Attempt.Task)
}

// limitOveruse throttles an attempt to its size. If it still uses more and may
// run again, it is checkpointed, and withdrawn after that.
func (c *Core) limitOveruse(j *job, i int) {
	a := &j.tasks[i]
	if a.overuseCount > 0 && c.now.Sub(a.limitedAt) < overuseInterval {
		return
	}
	a.limitedAt = c.now
	a.overuseCount++
	mayRunAgain := j.work.Idempotent || j.work.Kind == task.Service
	switch {
	case a.overuseCount == 1 || !mayRunAgain:
		c.sendCommand(j, i, Throttle)
	case a.overuseCount == 2:
		c.sendCommand(j, i, Checkpoint)
	default:
		c.sendCommand(j, i, Withdraw)
	}
}

// learnFromEnd updates the statistics with the end of an attempt.
func (c *Core) learnFromEnd(j *job, i int, used task.Size) {
	a := &j.tasks[i]
	f := c.familyOf(j.work)
	f.addUsage(used)
	runTime := c.now.Sub(a.startedAt)
	if a.outcome == task.Succeeded {
		j.team.refillRetries()
	}
	if a.outcome == task.Succeeded && !a.startedAt.IsZero() {
		f.addRunTime(runTime)
	}
	c.updateHealth(j, a, f)
	if a.outcome == task.Succeeded || a.outcome == task.Broke {
		f.addEnd(a.outcome == task.Succeeded)
	}
	if !a.startedAt.IsZero() {
		c.wasteBudget.addEnded(a, runTime)
	}
}

package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// Pauses before a rack's owner is asked about an attempt.
const (
	// answerTimeout is for an attempt of which an answer is due.
	answerTimeout = time.Second
	// runningCheckInterval is for an attempt that runs: its end may have been lost
	// together with the owner of the rack.
	runningCheckInterval = 30 * time.Second
)

// onReport takes what a rack's owner tells about an attempt.
func (c *Core) onReport(r Report) {
	if v := c.cell.viewByName(r.Rack); v != nil && v.applyReport(r) {
		c.unblockFitting(v)
	}
	j, ok := c.jobs[r.Attempt.Work]
	if !ok {
		c.forgetUnknown(r)
		return
	}
	if r.Attempt.Task < 0 || r.Attempt.Task >= len(j.tasks) {
		return
	}
	a := &j.tasks[r.Attempt.Task]
	if r.Attempt.Number != a.number || a.state != attemptChart.Initial() && r.Rack != a.rack {
		c.forgetStale(j, r)
		return
	}
	switch r.Status {
	case Placed:
		c.onPlaced(j, r)
	case Held:
		c.onHeld(j, r)
	case Refused:
		c.onRefused(j, r)
	case Ended:
		c.onEnded(j, r)
	}
}

// forgetUnknown lets a worker drop the end of an attempt that nobody waits for.
// While the partition is not held, its journal may still be on the way.
func (c *Core) forgetUnknown(r Report) {
	if r.Status != Ended {
		return
	}
	if c.options.PartitionOf != nil && !c.ownedPartitions[c.options.PartitionOf(r.Attempt.Work)] {
		return
	}
	c.sendForget(r)
}

// forgetStale lets a worker drop the end of an attempt that is not the current
// one: its end was durable before a later one began, or its work has its final
// answer, or it belongs to an earlier owner's memory.
func (c *Core) forgetStale(j *job, r Report) {
	older := r.Attempt.Number < j.tasks[r.Attempt.Task].number
	if r.Status == Ended && (older || !j.work.NeedsDurableRecord() || requestChart.Final(j.state)) {
		c.sendForget(r)
	}
}

func (c *Core) sendForget(r Report) {
	c.emit(Command{Verb: Forget, Attempt: r.Attempt, Rack: r.Rack, Worker: r.Worker})
}

func (c *Core) onPlaced(j *job, r Report) {
	i := r.Attempt.Task
	if !j.stepAttempt(i, Placed) {
		return
	}
	a := &j.tasks[i]
	a.worker = r.Worker
	a.reportedStarted, j.mayHaveStarted = true, true
	if a.state == "Withdrawing" {
		c.sendCommand(j, i, Withdraw)
		return
	}
	j.startedAt, a.startedAt = c.now, c.now
	j.refusalCount = 0
	c.addVictim(j, i)
	if j.isGang() && j.heldCount > 0 {
		c.confirmAll(j)
	}
}

// onHeld notes that there is room for one task of an all-at-once job.
func (c *Core) onHeld(j *job, r Report) {
	i := r.Attempt.Task
	if !j.stepAttempt(i, Held) {
		return
	}
	j.tasks[i].worker = r.Worker
	switch {
	case j.tasks[i].state == "Withdrawing":
		c.sendCommand(j, i, Withdraw)
	case j.heldCount == len(j.tasks):
		c.confirmAll(j)
	case j.anyConfirmed():
		c.confirm(j, i)
	}
}

// onRefused puts a task back that has not started.
func (c *Core) onRefused(j *job, r Report) {
	i := r.Attempt.Task
	if j.tasks[i].reportedStarted {
		// The attempt has started: its worker no longer knows it.
		r.Status, r.Outcome = Ended, task.Lost
		c.onEnded(j, r)
		return
	}
	if !j.stepAttempt(i, Refused) {
		return
	}
	c.release(j, i)
	if j.tasks[i].state == "Done" {
		j.tasks[i].outcome = task.Absent
		c.onTaskDone(j, i)
		return
	}
	c.retryRefused(j, i, r.Rack)
}

// retryRefused decides what follows a refusal of task i, which waits again.
func (c *Core) retryRefused(j *job, i int, rack string) {
	j.refusalCount++
	j.avoidRack = rack
	c.noteShortage(j.class(), j.team, j.size, 1)
	pause := min(minRefusalBackoff<<min(j.refusalCount, 10), maxRefusalBackoff)
	switch {
	case j.recovered && j.work.Kind == task.Request:
		c.endUnstarted(j)
	case j.isGang():
		j.notBefore = c.now.Add(c.jitter(pause))
		c.restartGang(j)
	default:
		if j.refusalCount > 1 || rack == "" {
			j.notBefore = c.now.Add(c.jitter(pause))
		}
		c.requeue(j)
	}
}

// endUnstarted answers a request of an owner that failed. It is never begun
// again, because its caller may have been told that it did not run.
func (c *Core) endUnstarted(j *job) {
	c.stopJob(j, task.Refusal(j.key, CodeOutcomeUnknown, "The request had not started when its owner failed.", DefaultRetryAfter))
}

func (c *Core) onEnded(j *job, r Report) {
	i := r.Attempt.Task
	a := &j.tasks[i]
	if a.state == "Done" || a.state == attemptChart.Initial() {
		if a.endDurable() || a.state != "Done" || requestChart.Final(j.state) {
			c.sendForget(r)
		}
		return
	}
	if !j.stepAttempt(i, Ended) {
		return
	}
	c.release(j, i)
	if v := c.cell.viewByName(r.Rack); v != nil && r.Outcome != task.Absent && v.addCredit(r, a.size, c.now) {
		c.unblockFitting(v)
	}
	a.outcome, a.body = r.Outcome, r.Body
	if r.Worker != "" {
		a.worker = r.Worker
	}
	c.learnFromEnd(j, i, r.Used)
	if r.Outcome != task.Absent {
		a.reportedStarted, j.mayHaveStarted = true, true
		if j.startedAt.IsZero() {
			j.startedAt = c.now
		}
	}
	c.onTaskDone(j, i)
}

// awaitsAnswer reports whether the rack's owner owes an answer about an attempt.
func (c *Core) awaitsAnswer(j *job) bool {
	if j.activeCount() == 0 {
		return false
	}
	for i := range j.tasks {
		switch j.tasks[i].state {
		case "Placing", "Held", "Confirming", "Settling", "Withdrawing":
			return true
		}
	}
	return false
}

// resendOverdue asks about the attempts of which the rack's owner has told nothing
// for a while: a command or a report may have been lost.
func (c *Core) resendOverdue(j *job) {
	if j.activeCount() == 0 {
		return
	}
	for i := range j.tasks {
		a := &j.tasks[i]
		silent := c.now.Sub(a.askedAt)
		switch {
		case silent < answerTimeout, a.state == "Running" && silent < runningCheckInterval:
			continue
		case a.state == "Withdrawing":
			c.sendCommand(j, i, Withdraw)
		case a.state == "Settling", a.state == "Running", j.stepAttempt(i, "Settle"):
			c.sendCommand(j, i, Settle)
		}
	}
}

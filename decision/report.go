package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// How long the core waits before it queries a rack's owner about an attempt.
const (
	// answerTimeout applies to an attempt with an unanswered command.
	answerTimeout = time.Second
	// runningCheckInterval applies to a running attempt: the report of its end
	// may have been lost together with the owner of the rack.
	runningCheckInterval = 30 * time.Second
)

// onReport applies a rack owner's report on an attempt.
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

// forgetUnknown lets a worker forget the end of an attempt of an unknown job,
// unless the driver does not own its partition, whose journal may not have been
// recovered yet.
func (c *Core) forgetUnknown(r Report) {
	if r.Status != Ended {
		return
	}
	if c.options.PartitionOf != nil && !c.ownedPartitions[c.options.PartitionOf(r.Attempt.Work)] {
		return
	}
	c.sendForget(r)
}

// forgetStale lets a worker forget the end of an attempt that is not the
// current one: its end was durable before the next one began, or its work has
// its final answer, or its work needs no record and the attempt may be of an
// earlier owner.
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

// onHeld records that capacity is reserved for one task of a gang.
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

// onRefused requeues a task whose attempt has not started.
func (c *Core) onRefused(j *job, r Report) {
	i := r.Attempt.Task
	if j.tasks[i].reportedStarted {
		// The attempt was reported as started, so its worker has lost it.
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

// endUnstarted answers a request whose owner failed before it started. It is
// never begun again, because its caller may have been told that it did not run.
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

// awaitsAnswer reports whether a report on one of the job's attempts is due
// within answerTimeout.
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

// resendOverdue queries, or withdraws again, the attempts that the rack's owner
// has not reported on in time: a command or a report may have been lost.
func (c *Core) resendOverdue(j *job) {
	if j.activeCount() == 0 {
		return
	}
	for i := range j.tasks {
		a := &j.tasks[i]
		elapsed := c.now.Sub(a.lastCommandAt)
		switch {
		case elapsed < answerTimeout, a.state == "Running" && elapsed < runningCheckInterval:
			continue
		case a.state == "Withdrawing":
			c.sendCommand(j, i, Withdraw)
		case a.state == "Settling", a.state == "Running", j.stepAttempt(i, "Settle"):
			c.sendCommand(j, i, Settle)
		}
	}
}

package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// Pauses before a rack's owner is asked about an attempt.
const (
	// askInterval is for an attempt of which an answer is due.
	askInterval = time.Second
	// checkInterval is for an attempt that runs: its end may have been lost
	// together with the owner of the rack.
	checkInterval = 30 * time.Second
)

// report takes what a rack's owner tells about an attempt.
func (c *Core) report(r Report) {
	if v := c.cell.named(r.Rack); v != nil && v.settle(r) {
		c.roomGrew(v)
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
		c.forgetOther(j, r)
		return
	}
	switch r.Status {
	case Placed:
		c.placed(j, r)
	case Held:
		c.heldRoom(j, r)
	case Refused:
		c.refused(j, r)
	case Ended:
		c.ended(j, r)
	}
}

// forgetUnknown lets a worker drop the end of an attempt that nobody waits for.
// While the partition is not held, its journal may still be on the way.
func (c *Core) forgetUnknown(r Report) {
	if r.Status != Ended {
		return
	}
	if c.options.PartitionOf != nil && !c.held[c.options.PartitionOf(r.Attempt.Work)] {
		return
	}
	c.forget(r)
}

// forgetOther lets a worker drop the end of an attempt that is not the current
// one: its end was durable before a later one began, or its work has its final
// answer, or it belongs to an earlier owner's memory.
func (c *Core) forgetOther(j *job, r Report) {
	older := r.Attempt.Number < j.tasks[r.Attempt.Task].number
	if r.Status == Ended && (older || !j.work.NeedsDurableRecord() || requestChart.Final(j.state)) {
		c.forget(r)
	}
}

func (c *Core) forget(r Report) {
	c.emit(Command{Verb: Forget, Attempt: r.Attempt, Rack: r.Rack, Worker: r.Worker})
}

func (c *Core) placed(j *job, r Report) {
	i := r.Attempt.Task
	if !j.move(i, Placed) {
		return
	}
	a := &j.tasks[i]
	a.worker = r.Worker
	a.seen, j.ran = true, true
	if a.state == "Withdrawing" {
		c.command(j, i, Withdraw)
		return
	}
	j.started, a.begun = c.now, c.now
	j.refusals = 0
	c.addVictim(j, i)
	if j.together() && j.held > 0 {
		c.confirmAll(j)
	}
}

// heldRoom notes that there is room for one task of an all-at-once job.
func (c *Core) heldRoom(j *job, r Report) {
	i := r.Attempt.Task
	if !j.move(i, Held) {
		return
	}
	j.tasks[i].worker = r.Worker
	switch {
	case j.tasks[i].state == "Withdrawing":
		c.command(j, i, Withdraw)
	case j.held == len(j.tasks):
		c.confirmAll(j)
	case j.confirmed():
		c.confirm(j, i)
	}
}

// refused puts a task back that has not started.
func (c *Core) refused(j *job, r Report) {
	i := r.Attempt.Task
	if j.tasks[i].seen {
		// The attempt has started: its worker no longer knows it.
		r.Status, r.Outcome = Ended, task.Lost
		c.ended(j, r)
		return
	}
	if !j.move(i, Refused) {
		return
	}
	c.discharge(j, i)
	if j.tasks[i].state == "Done" {
		j.tasks[i].outcome = task.Absent
		c.taskDone(j, i)
		return
	}
	c.refusedTask(j, i, r.Rack)
}

// refusedTask decides what follows a refusal of task i, which waits again.
func (c *Core) refusedTask(j *job, i int, rack string) {
	j.refusals++
	j.avoid = rack
	c.noteNeed(j.class(), j.team, j.size, 1)
	pause := min(refusalPause<<min(j.refusals, 10), refusalPauseLimit)
	switch {
	case j.recovered && j.work.Kind == task.Request:
		c.endUnstarted(j)
	case j.together():
		j.notBefore = c.now.Add(c.jitter(pause))
		c.restartTogether(j)
	default:
		if j.refusals > 1 || rack == "" {
			j.notBefore = c.now.Add(c.jitter(pause))
		}
		c.requeue(j)
	}
}

// endUnstarted answers a request of an owner that failed. It is never begun
// again, because its caller may have been told that it did not run.
func (c *Core) endUnstarted(j *job) {
	c.stop(j, task.Refusal(j.key, CodeOutcomeUnknown, "The request had not started when its owner failed.", DefaultRetryAfter))
}

func (c *Core) ended(j *job, r Report) {
	i := r.Attempt.Task
	a := &j.tasks[i]
	if a.state == "Done" || a.state == attemptChart.Initial() {
		if a.kept() || a.state != "Done" || requestChart.Final(j.state) {
			c.forget(r)
		}
		return
	}
	if !j.move(i, Ended) {
		return
	}
	c.discharge(j, i)
	if v := c.cell.named(r.Rack); v != nil && r.Outcome != task.Absent && v.credit(r, a.size, c.now) {
		c.roomGrew(v)
	}
	a.outcome, a.body = r.Outcome, r.Body
	if r.Worker != "" {
		a.worker = r.Worker
	}
	c.learnEnd(j, i, r.Used)
	if r.Outcome != task.Absent {
		a.seen, j.ran = true, true
		if j.started.IsZero() {
			j.started = c.now
		}
	}
	c.taskDone(j, i)
}

// unsettled reports whether the rack's owner owes an answer about an attempt.
func (c *Core) unsettled(j *job) bool {
	if j.active() == 0 {
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

// askAgain asks about the attempts of which the rack's owner has told nothing
// for a while: a command or a report may have been lost.
func (c *Core) askAgain(j *job) {
	if j.active() == 0 {
		return
	}
	for i := range j.tasks {
		a := &j.tasks[i]
		silent := c.now.Sub(a.asked)
		switch {
		case silent < askInterval, a.state == "Running" && silent < checkInterval:
			continue
		case a.state == "Withdrawing":
			c.command(j, i, Withdraw)
		case a.state == "Settling", a.state == "Running", j.move(i, "Settle"):
			c.command(j, i, Settle)
		}
	}
}

package decision

import (
	"cmp"
	"slices"

	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/task"
)

// recover rebuilds the jobs of a partition from its journal and asks about
// every attempt whose end is not recorded.
func (c *Core) recover(e PartitionRecovered) {
	c.drop(e.Partition)
	c.held[e.Partition] = true
	for _, entry := range e.Entries {
		c.replay(e.Partition, entry)
	}
	for _, j := range c.jobsOf(e.Partition) {
		c.resume(j)
	}
}

// replay applies one entry.
func (c *Core) replay(partition string, e record.Entry) {
	if e.Verb == record.Accept {
		c.replayAccept(partition, e)
		return
	}
	j, ok := c.jobs[e.Key()]
	if !ok || j.partition != partition {
		return
	}
	switch e.Verb {
	case record.Begin:
		c.replayBegin(j, e)
	case record.End:
		c.replayEnd(j, e)
	case record.Final:
		j.answer = *e.Answer
		j.state = "Answered"
		j.ended = e.At
	}
}

func (c *Core) replayAccept(partition string, e record.Entry) {
	j := newJob(*e.Work, partition, e.At)
	if old, ok := c.jobs[j.key]; ok {
		j.follow(old)
		c.remove(old)
	}
	j.recovered, j.ran = true, j.ran || e.Ran
	j.step("Recover")
	c.add(j)
	c.replayBegin(j, e)
}

// replayBegin notes attempts, unless a later one of the task is known already: a
// snapshot may hold what a row after it tells again.
func (c *Core) replayBegin(j *job, e record.Entry) {
	for _, b := range e.Begun {
		i := b.Attempt.Task
		if !j.has(i) || j.tasks[i].number >= b.Attempt.Number {
			continue
		}
		if j.tasks[i].state != attemptChart.Initial() {
			j.reset(i)
		}
		j.move(i, "Resume")
		a := &j.tasks[i]
		a.number, a.rack, a.epoch, a.size = b.Attempt.Number, b.Rack, b.Epoch, j.size
		a.failures, a.losses = max(a.failures, b.Failures), max(a.losses, b.Losses)
		j.step("Start")
	}
}

// replayEnd notes the end of an attempt, unless it is not the task's last.
func (c *Core) replayEnd(j *job, e record.Entry) {
	i := e.Attempt.Task
	if !j.has(i) || j.tasks[i].number != e.Attempt.Number || !j.move(i, Ended) {
		return
	}
	a := &j.tasks[i]
	a.outcome, a.body, a.worker = e.Outcome, e.Body, e.Worker
	a.end(false)
	a.follow(keepTask)
	a.seen = e.Outcome != task.Absent
	j.ran = j.ran || a.seen
	a.countEnd()
	if c.again(j, a) {
		j.reset(i)
	}
}

func (j *job) has(i int) bool { return i >= 0 && i < len(j.tasks) }

// resume goes on with a job as its journal left it.
func (c *Core) resume(j *job) {
	if requestChart.Final(j.state) {
		c.wakeBy(j, j.ended.Add(c.options.remember(j.work)))
		return
	}
	if j.work.Kind == task.Request && j.waiting > 0 {
		c.endUnstarted(j)
		return
	}
	for i := range j.tasks {
		if j.tasks[i].state == "Settling" {
			c.charge(j, i)
			c.command(j, i, Settle)
		}
	}
	if j.waiting > 0 {
		if j.together() && j.waiting < len(j.tasks) {
			c.restartTogether(j)
			return
		}
		c.requeue(j)
		return
	}
	c.endIfDone(j)
}

// jobsOf returns the durable jobs of a partition, the oldest first.
func (c *Core) jobsOf(partition string) []*job {
	var found []*job
	for _, j := range c.jobs {
		if j.partition == partition && j.work.NeedsDurableRecord() {
			found = append(found, j)
		}
	}
	slices.SortFunc(found, func(a, b *job) int { return cmp.Compare(a.serial, b.serial) })
	return found
}

// drop forgets the durable jobs of a partition that another member owns now.
// Requests that need no record go on here.
func (c *Core) drop(partition string) {
	delete(c.held, partition)
	for _, j := range c.jobsOf(partition) {
		c.answerAll(j, task.Answer{Team: j.key.Team, ID: j.key.ID, State: task.Unknown, Code: CodeOutcomeUnknown,
			Reason: "The work moved to another entry host; ask again.", RetryAfter: DefaultRetryAfter})
		c.remove(j)
	}
	for token, p := range c.pending {
		if p.job.partition == partition {
			delete(c.pending, token)
		}
	}
}

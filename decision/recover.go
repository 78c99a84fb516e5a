package decision

import (
	"cmp"
	"slices"

	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/task"
)

// recoverPartition rebuilds the jobs of a partition from its journal and
// queries the state of every attempt whose end is not recorded.
func (c *Core) recoverPartition(e PartitionRecovered) {
	c.dropPartition(e.Partition)
	c.ownedPartitions[e.Partition] = true
	for _, entry := range e.Entries {
		c.replay(e.Partition, entry)
	}
	for _, j := range c.durableJobsOf(e.Partition) {
		c.resume(j)
	}
}

// replay applies one entry of the journal.
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
		j.endedAt = e.At
		c.markFinished(j)
	}
}

func (c *Core) replayAccept(partition string, e record.Entry) {
	j := newJob(*e.Work, partition, e.At)
	if old, ok := c.jobs[j.key]; ok {
		j.inheritNumbers(old)
		c.removeJob(old)
	}
	j.recovered, j.mayHaveStarted = true, j.mayHaveStarted || e.Ran
	j.step("Recover")
	c.addJob(j)
	c.replayBegin(j, e)
}

// replayBegin restores attempts, unless the task has the same or a later one
// already: a snapshot may include rows that follow it.
func (c *Core) replayBegin(j *job, e record.Entry) {
	for _, b := range e.Begun {
		i := b.Attempt.Task
		if !j.hasTask(i) || j.tasks[i].number >= b.Attempt.Number {
			continue
		}
		if j.tasks[i].state != attemptChart.Initial() {
			j.resetTask(i)
		}
		j.stepAttempt(i, "Resume")
		a := &j.tasks[i]
		a.number, a.rack, a.epoch, a.size = b.Attempt.Number, b.Rack, b.Epoch, j.size
		a.failures, a.losses = max(a.failures, b.Failures), max(a.losses, b.Losses)
		j.step("Start")
	}
}

// replayEnd restores the end of an attempt, unless it is not the task's latest
// one.
func (c *Core) replayEnd(j *job, e record.Entry) {
	i := e.Attempt.Task
	if !j.hasTask(i) || j.tasks[i].number != e.Attempt.Number || !j.stepAttempt(i, Ended) {
		return
	}
	a := &j.tasks[i]
	a.outcome, a.body, a.worker = e.Outcome, e.Body, e.Worker
	a.stepEnded(false)
	a.stepTask(keptEvent)
	a.reportedStarted = e.Outcome != task.Absent
	j.mayHaveStarted = j.mayHaveStarted || a.reportedStarted
	a.countFailure()
	if c.shouldRetry(j, a) {
		j.resetTask(i)
	}
}

func (j *job) hasTask(i int) bool { return i >= 0 && i < len(j.tasks) }

// resume continues a job from the state restored from the journal.
func (c *Core) resume(j *job) {
	if requestChart.Final(j.state) {
		c.wakeBy(j, j.endedAt.Add(c.options.retention(j.work)))
		return
	}
	if j.work.Kind == task.Request && j.waitingCount > 0 {
		c.endUnstarted(j)
		return
	}
	for i := range j.tasks {
		if j.tasks[i].state == "Settling" {
			c.charge(j, i)
			c.sendCommand(j, i, Settle)
		}
	}
	if j.waitingCount > 0 {
		if j.isGang() && j.waitingCount < len(j.tasks) {
			c.restartGang(j)
			return
		}
		c.requeue(j)
		return
	}
	c.endIfDone(j)
}

// durableJobsOf returns the durable jobs of a partition, the oldest first.
func (c *Core) durableJobsOf(partition string) []*job {
	var found []*job
	for _, j := range c.jobs {
		if j.partition == partition && j.work.NeedsDurableRecord() {
			found = append(found, j)
		}
	}
	slices.SortFunc(found, func(a, b *job) int { return cmp.Compare(a.serial, b.serial) })
	return found
}

// dropPartition removes the durable jobs of a partition that the driver no
// longer owns. Requests that need no record stay here.
func (c *Core) dropPartition(partition string) {
	delete(c.ownedPartitions, partition)
	for _, j := range c.durableJobsOf(partition) {
		c.answerAll(j, task.Answer{Team: j.key.Team, ID: j.key.ID, State: task.Unknown, Code: CodeOutcomeUnknown,
			Reason: "The work moved to another entry host; ask again.", RetryAfter: DefaultRetryAfter})
		c.removeJob(j)
	}
	for token, p := range c.pendingRecords {
		if p.job.partition == partition {
			delete(c.pendingRecords, token)
		}
	}
}

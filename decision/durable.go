package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/chart"
	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/task"
)

// recordRetryInterval is the delay before a failed entry is recorded again.
const recordRetryInterval = 100 * time.Millisecond

// onRecorded continues the work that waited for an entry to be durable.
func (c *Core) onRecorded(token uint64) {
	p, ok := c.pendingRecords[token]
	if !ok {
		return
	}
	delete(c.pendingRecords, token)
	switch p.entry.Verb {
	case record.Accept:
		c.onAccepted(p.job, p.entry.Begun)
	case record.Begin:
		for _, b := range p.entry.Begun {
			c.startAttempt(p.job, b.Attempt)
		}
	case record.End:
		c.onEndRecorded(p.job, p.entry.Attempt)
	case record.Final:
		c.finish(p.job)
	}
}

// onAccepted continues work whose acceptance is durable, and starts the
// attempts that the same entry recorded.
func (c *Core) onAccepted(j *job, begun []record.Begun) {
	doubted := j.state == "Doubted"
	if !j.step("Recorded") {
		return
	}
	c.answerAcceptWaiters(j)
	if doubted && j.work.Kind == task.Request {
		// The callers were told that it did not run.
		c.stopJob(j, j.answer)
		return
	}
	j.answer = task.Answer{}
	if len(begun) > 0 && !doubted {
		j.step("Start")
		for _, b := range begun {
			c.startAttempt(j, b.Attempt)
		}
	}
	if j.placeable() {
		c.enqueue(j)
	}
}

func (c *Core) answerAcceptWaiters(j *job) {
	for _, caller := range j.acceptWaiters {
		c.emit(Reply{Caller: caller, Answer: j.currentAnswer()})
	}
	j.acceptWaiters = nil
}

// onEndRecorded lets the worker forget an attempt whose end is durable.
func (c *Core) onEndRecorded(j *job, id task.AttemptID) {
	a := &j.tasks[id.Task]
	if a.number != id.Number || a.state != "Done" {
		return
	}
	if c.jobs[j.key] != j {
		return
	}
	c.forgetAttempt(j, id.Task)
	c.resumeAfterEnd(j, id.Task)
}

// onRecordFailed answers, requeues or schedules again what waited for an entry.
// The token of an entry in doubt stays pending for the second result, except
// that of a begin, which is requeued at once.
func (c *Core) onRecordFailed(e RecordFailed) {
	p, ok := c.pendingRecords[e.Token]
	if !ok {
		return
	}
	if !e.InDoubt {
		delete(c.pendingRecords, e.Token)
	}
	switch p.entry.Verb {
	case record.Accept:
		c.onNotAccepted(p.job, e.InDoubt)
	case record.Begin:
		delete(c.pendingRecords, e.Token)
		for _, b := range p.entry.Begun {
			c.onNotBegun(p.job, b)
		}
	case record.Final:
		c.answerUnrecorded(p.job)
		c.scheduleRecordRetry(p, e.InDoubt)
	default:
		c.scheduleRecordRetry(p, e.InDoubt)
	}
}

// scheduleRecordRetry schedules a failed entry to be recorded again, unless it
// is in doubt or its job is gone.
func (c *Core) scheduleRecordRetry(p pendingRecord, inDoubt bool) {
	if inDoubt || c.jobs[p.job.key] != p.job {
		return
	}
	p.job.unrecorded = append(p.job.unrecorded, p.entry)
	c.wakeBy(p.job, c.now.Add(recordRetryInterval))
}

func (c *Core) retryRecords(j *job) {
	entries := j.unrecorded
	j.unrecorded = nil
	for _, e := range entries {
		c.record(j, e)
	}
}

// onNotAccepted answers the callers of work whose acceptance is not durable.
// Even in doubt a request is certain not to run, because no owner begins a
// request of which only the acceptance is recorded; other work may still run.
func (c *Core) onNotAccepted(j *job, inDoubt bool) {
	for i := range j.tasks {
		if j.tasks[i].state == "Recording" {
			j.stepAttempt(i, "RecordFailed")
			c.release(j, i)
		}
	}
	event := chart.Event("RecordFailed")
	if inDoubt {
		event = "Doubt"
	}
	if !j.step(event) {
		return
	}
	if !inDoubt {
		c.answerAll(j, c.unknownIfLeaseLapsed(j.work, c.rememberRefusal(j.work, c.notDurableAnswer(j.key))))
		c.removeJob(j)
		return
	}
	j.answer = c.inDoubtAnswer(j)
	c.answerAll(j, c.unknownIfLeaseLapsed(j.work, j.answer))
}

func (c *Core) notDurableAnswer(k task.Key) task.Answer {
	return task.Refusal(k, CodeNotDurable, "The work could not be recorded.", DefaultRetryAfter)
}

func (c *Core) inDoubtAnswer(j *job) task.Answer {
	a := c.notDurableAnswer(j.key)
	if j.work.Kind != task.Request {
		a.State = task.Unknown
		a.Reason = "It is not known whether the work was recorded; a repeat with the same ID does no harm."
	}
	return a
}

// answerUnrecorded answers the callers of work whose final answer could not be
// recorded yet: with the answer if a later owner would give the same, otherwise
// with a request to ask again.
func (c *Core) answerUnrecorded(j *job) {
	if j.answer.State == task.Ran || j.answer.State == task.Failed {
		c.answerAll(j, j.answer)
		return
	}
	c.answerAll(j, task.Answer{Team: j.key.Team, ID: j.key.ID, State: task.Unknown, Code: CodeNotDurable,
		Reason: "The end of the work could not be recorded yet; ask again.", RetryAfter: DefaultRetryAfter})
}

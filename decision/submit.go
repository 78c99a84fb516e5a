package decision

import (
	"bytes"

	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/task"
)

// submit accepts or refuses new work, or joins the caller to the known job.
func (c *Core) submit(e Submitted) {
	if c.isOvertaken(e) {
		c.refuseOvertaken(e)
		return
	}
	// An owner may have accepted an earlier copy, so this one is not certain to
	// be the first try.
	e.Work.FirstTry = e.Work.FirstTry && !e.Repeated
	old, known := c.jobs[e.Work.Key()]
	if known && !e.Work.FirstTry {
		// The repeat shares the answer of the work. A delayed copy of the first
		// try must not be run afresh after that.
		old.work.FirstTry = false
	}
	if known && !old.isRetryable() {
		c.answerRepeat(old, e)
		return
	}
	if answer, ok := c.admit(e); !ok {
		if !e.Work.FirstTry && !known && !c.knowsHistory(e) {
			answer.State = task.Unknown
		}
		if !known {
			answer = c.rememberRefusal(e.Work, answer)
		}
		c.emit(Reply{Caller: e.Caller, Answer: c.unknownIfLeaseLapsed(e.Work, answer)})
		return
	}
	j := newJob(e.Work, e.Partition, c.now)
	if known {
		j.inheritNumbers(old)
		c.removeJob(old)
	}
	c.addJob(j)
	j.team.submittedAt = c.now
	c.addWaiter(j, e.Caller, e.Wait)
	if !e.Work.NeedsDurableRecord() {
		j.step("Queue")
		c.enqueue(j)
		return
	}
	j.step("Record")
	work := e.Work
	c.record(j, record.Entry{Verb: record.Accept, At: c.now, Work: &work, Begun: c.beginOnAcceptance(j)})
}

// isRetryable reports whether the job was answered as not run with a time to
// retry: a repeat is then accepted as new.
func (j *job) isRetryable() bool {
	return requestChart.Final(j.state) && j.answer.State == task.NotRun && j.answer.RetryAfter > 0
}

// inheritNumbers continues the attempt numbers of an earlier try of the same
// work, none of which started, so that no report is attributed to the wrong
// attempt.
func (j *job) inheritNumbers(old *job) {
	j.mayHaveStarted = old.mayHaveStarted
	for i := range min(len(j.tasks), len(old.tasks)) {
		j.tasks[i].number = old.tasks[i].number
	}
}

// knowsHistory reports whether work unknown here has certainly never started.
// That is not so for work without a record, as an earlier owner may have run
// it, nor if another member may own the partition by now.
func (c *Core) knowsHistory(e Submitted) bool {
	return e.Work.NeedsDurableRecord() && e.Partition != "" && c.leaseValid
}

// beginOnAcceptance chooses workers for a request or service with a record if
// no competing work is queued, so that one entry records both its acceptance
// and its attempts.
func (c *Core) beginOnAcceptance(j *job) []record.Begun {
	switch j.work.Kind {
	case task.Request:
		if c.competingJobs(urgent, j.team) > 0 || c.competingJobs(j.class(), j.team) > 0 {
			return nil
		}
	case task.Service:
		if c.queuedAhead(j.class(), j.team) > 0 {
			return nil
		}
	default:
		return nil
	}
	choices, _ := c.chooseWorkers(j)
	if len(choices) == 0 {
		return nil
	}
	return c.commit(j, choices)
}

// answerRepeat answers a submission whose ID is known.
func (c *Core) answerRepeat(j *job, e Submitted) {
	if !sameWork(j.work, e.Work) {
		c.emit(Reply{Caller: e.Caller, Answer: task.Refusal(j.key, CodeIDReused,
			"The ID belongs to other work of the team; this work was not accepted.", 0)})
		return
	}
	c.joinCaller(j, e.Caller, e.Wait)
}

// sameWork reports whether two submissions are of the same work. Their urgency,
// run time, deadline and origin may differ.
func sameWork(a, b task.Work) bool {
	return a.Kind == b.Kind && a.Tasks == b.Tasks && a.Size == b.Size && a.Idempotent == b.Idempotent &&
		a.Family == b.Family && bytes.Equal(a.Payload, b.Payload)
}

// joinCaller answers a caller from the state of a known job, or adds it to the
// waiters.
func (c *Core) joinCaller(j *job, caller uint64, wait bool) {
	switch {
	case j.isRetryable(), j.state == "Doubted":
		repeat := j.work
		repeat.FirstTry = false
		c.emit(Reply{Caller: caller, Answer: c.unknownIfLeaseLapsed(repeat, j.answer)})
	case requestChart.Final(j.state):
		c.emit(Reply{Caller: caller, Answer: j.answer})
	case !wait && j.state != "Recording":
		c.emit(Reply{Caller: caller, Answer: j.currentAnswer()})
	default:
		c.addWaiter(j, caller, wait)
	}
}

func (c *Core) addWaiter(j *job, caller uint64, wait bool) {
	if wait || !j.work.NeedsDurableRecord() {
		j.endWaiters = append(j.endWaiters, caller)
		return
	}
	j.acceptWaiters = append(j.acceptWaiters, caller)
}

// query answers a caller that asks for the state of work.
func (c *Core) query(e Queried) {
	j, ok := c.jobs[e.Key]
	if !ok {
		c.emit(Reply{Caller: e.Caller, Answer: c.unknownIDAnswer(e.Key)})
		return
	}
	c.joinCaller(j, e.Caller, e.Wait)
}

func (c *Core) unknownIDAnswer(k task.Key) task.Answer {
	return task.Answer{Team: k.Team, ID: k.ID, State: task.Unknown, Code: CodeUnknownID,
		Reason: "No work with this ID is known."}
}

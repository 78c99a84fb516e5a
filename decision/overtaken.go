package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// maxOvertaken bounds the refused repeats that are remembered.
const maxOvertaken = 100_000

// overtaken holds the repeats that were answered as not run although their first
// try had not arrived, by when they are forgotten. The first try may still be on its
// way, through a host that was paused or a link that was cut: it must not run then.
// Use a map that is not nil.
type overtaken map[task.Key]time.Time

// add remembers a refused repeat and reports whether there was room.
func (o overtaken) add(now time.Time, k task.Key, until time.Time) bool {
	if len(o) >= maxOvertaken {
		o.expire(now)
	}
	if len(o) >= maxOvertaken {
		return false
	}
	o[k] = until
	return true
}

func (o overtaken) expire(now time.Time) {
	for k, until := range o {
		if now.After(until) {
			delete(o, k)
		}
	}
}

// rememberRefusal turns the refusal of a repeat into the answer to it: without room to
// remember it, nothing is certain.
func (c *Core) rememberRefusal(w task.Work, refusal task.Answer) task.Answer {
	if refusal.State != task.NotRun || w.FirstTry || !w.NeedsDurableRecord() {
		return refusal
	}
	until := w.Deadline
	if until.IsZero() {
		until = c.now.Add(c.options.retention(w))
	}
	if !c.overtaken.add(c.now, w.Key(), until) {
		refusal.State = task.Unknown
	}
	return refusal
}

// unknownIfLeaseLapsed takes the certainty from the answer to a repeat, or to a question, that the
// work did not run, if the lease has lapsed: the next owner may have run it at another
// repeat.
func (c *Core) unknownIfLeaseLapsed(w task.Work, answer task.Answer) task.Answer {
	if answer.State == task.NotRun && !c.leaseValid && !w.FirstTry && w.NeedsDurableRecord() {
		answer.State = task.Unknown
	}
	return answer
}

// isOvertaken reports whether a submission is a copy of the first try of work of
// which a repeat was answered as not run.
func (c *Core) isOvertaken(e Submitted) bool {
	if !e.Work.FirstTry {
		return false
	}
	if old, known := c.jobs[e.Work.Key()]; known {
		return old.isRetryable() && !old.work.FirstTry && old.work.NeedsDurableRecord()
	}
	_, refused := c.overtaken[e.Work.Key()]
	return refused
}

// refuseOvertaken answers a first try that has come too late.
func (c *Core) refuseOvertaken(e Submitted) {
	c.emit(Reply{Caller: e.Caller, Answer: task.Refusal(e.Work.Key(), CodeOvertaken,
		"A repeat of this try was answered as not run already.", DefaultRetryAfter)})
}

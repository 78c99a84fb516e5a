package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// maxOvertaken bounds the number of refused repeats that are remembered.
const maxOvertaken = 100_000

// overtaken holds repeats that were answered as not run before their first try
// arrived, with the time at which they are dropped. The first try may still be
// in flight, through a paused host or a cut link, and must not run when it
// arrives. The map must not be nil.
type overtaken map[task.Key]time.Time

// add remembers a refused repeat and reports whether there was space for it.
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

// rememberRefusal returns the answer to a refused repeat. It says NotRun only
// if the refusal could be remembered.
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

// unknownIfLeaseLapsed replaces NotRun by Unknown in the answer to a repeat or
// a query of durable work if the lease has lapsed: the next owner may have run
// the work for another repeat.
func (c *Core) unknownIfLeaseLapsed(w task.Work, answer task.Answer) task.Answer {
	if answer.State == task.NotRun && !c.leaseValid && !w.FirstTry && w.NeedsDurableRecord() {
		answer.State = task.Unknown
	}
	return answer
}

// isOvertaken reports whether a submission is a first try, or a copy of one,
// that was overtaken by a repeat answered as not run.
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

// refuseOvertaken refuses an overtaken first try.
func (c *Core) refuseOvertaken(e Submitted) {
	c.emit(Reply{Caller: e.Caller, Answer: task.Refusal(e.Work.Key(), CodeOvertaken,
		"A repeat of this try was answered as not run already.", DefaultRetryAfter)})
}

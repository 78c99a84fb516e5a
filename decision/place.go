package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/task"
)

// Pauses before a job is placed again.
const (
	// refusalPause is the first pause after a refusal; it doubles with each.
	refusalPause = 20 * time.Millisecond
	// refusalPauseLimit bounds the pause.
	refusalPauseLimit = 2 * time.Second
	// gangPause is the pause before an all-at-once job without room is looked
	// at again.
	gangPause = 50 * time.Millisecond
)

// choice is the worker chosen for one task.
type choice struct {
	task   int
	view   *view
	worker string
}

// place starts what fits, in the order of the classes.
func (c *Core) place() {
	c.releaseIfDone()
	for k := range c.queue {
		q := &c.queue[k]
		for q.ready > 0 {
			l := q.pick(c.now, class(k) == allAtOnce)
			c.placeFirst(q, l)
		}
	}
}

// placeFirst places the oldest job of a line, or notes why it can't be.
func (c *Core) placeFirst(q *queue, l *line) {
	j := l.first
	if !j.placeable() {
		c.unqueue(j)
		return
	}
	why := c.placeJob(j)
	if why == noRoom && l.tasks == 0 && c.yieldsTo(j) {
		why = yields
	}
	switch {
	case why == ready:
		c.unqueue(j)
	case why == noRoom && j.avoid != "":
		c.unqueue(j)
		c.postpone(j, refusalPause)
	case why == noRoom && l.tasks > 0:
		c.wantRoom(j)
		c.unqueue(j)
		c.postpone(j, gangPause)
	default:
		q.setCause(l, why)
		if why == noRoom {
			c.preempt(j)
		}
	}
}

// postpone puts a job back into the queue after a pause with jitter.
func (c *Core) postpone(j *job, pause time.Duration) {
	j.avoid = ""
	j.notBefore = c.now.Add(c.jitter(pause))
	c.wakeBy(j, j.notBefore)
}

// jitter returns a duration between half of d and one and a half of it.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.random.Int64N(int64(d)+1))
}

// placeJob chooses workers for the waiting tasks of a job. It returns ready if
// none is left waiting, or else what is missing.
func (c *Core) placeJob(j *job) cause {
	if j.work.NeedsDurableRecord() && !c.leased {
		return noLease
	}
	choices, why := c.chooseAll(j)
	if j.together() && why != ready {
		c.undo(j, choices)
		return why
	}
	c.begin(j, choices)
	return why
}

// undo gives the room of choices back.
func (c *Core) undo(j *job, choices []choice) {
	for _, ch := range choices {
		c.uncharge(j, ch.task)
		ch.view.cancel(j.id(ch.task))
		j.tasks[ch.task].number--
		j.tasks[ch.task].rack = ""
	}
}

// begin records the chosen attempts, or places them at once if the job needs no
// record.
func (c *Core) begin(j *job, choices []choice) {
	if len(choices) == 0 {
		return
	}
	begun := c.commit(j, choices)
	j.step("Start")
	if j.work.NeedsDurableRecord() {
		c.record(j, record.Entry{Verb: record.Begin, At: c.now, Begun: begun})
		return
	}
	for _, b := range begun {
		c.begun(j, b.Attempt)
	}
}

// commit moves the chosen attempts on and returns what must be durable before
// they start.
func (c *Core) commit(j *job, choices []choice) []record.Begun {
	c.pace.started++
	j.avoid, j.blocked = "", time.Time{}
	begun := make([]record.Begun, len(choices))
	for i, ch := range choices {
		j.move(ch.task, "Choose")
		begun[i] = record.Begun{Attempt: j.id(ch.task), Rack: ch.view.digest.Rack, Epoch: ch.view.digest.Epoch}
	}
	return begun
}

// begun asks the rack's owner to start an attempt that may start.
func (c *Core) begun(j *job, id task.AttemptID) {
	if j.tasks[id.Task].number != id.Number || !j.move(id.Task, "Recorded") {
		return
	}
	verb := Place
	if j.together() {
		verb = Hold
	}
	c.command(j, id.Task, verb)
}

// notBegun puts an attempt back whose record is not durable. Nothing was sent
// for it, so that it can't have started.
func (c *Core) notBegun(j *job, b record.Begun) {
	i := b.Attempt.Task
	if j.tasks[i].number != b.Attempt.Number || !j.move(i, "RecordFailed") {
		return
	}
	c.discharge(j, i)
	j.tasks[i].rack = ""
	c.refusedTask(j, i, "")
}

func (c *Core) command(j *job, i int, verb Verb) {
	a := &j.tasks[i]
	a.asked = c.now
	cmd := Command{Verb: verb, Attempt: j.id(i), Rack: a.rack, Worker: a.worker,
		Partition: j.partition, Durable: j.work.NeedsDurableRecord(), Epoch: a.epoch}
	switch verb {
	case Place, Hold, Confirm:
		cmd.Size = a.size
		cmd.Kind = j.work.Kind
		cmd.RunTime = j.work.RunTime
		cmd.Payload = j.work.Payload
		cmd.Avoid = c.avoidedIn(a.rack)
	}
	if verb != Forget {
		c.wakeBy(j, c.now.Add(askInterval))
	}
	c.emit(cmd)
}

// retry puts a job back into the queue whose pause is over.
func (c *Core) retry(j *job) {
	if j.line == nil {
		c.enqueue(j)
	}
}

// requeue puts a job with a waiting task back into the queue.
func (c *Core) requeue(j *job) {
	if j.active() == 0 {
		j.step("Requeue")
	}
	if j.placeable() {
		c.enqueue(j)
	}
}

package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/task"
)

// Delays before a job is placed again.
const (
	// minRefusalBackoff is the first backoff after a refusal; it doubles with
	// each further one.
	minRefusalBackoff = 20 * time.Millisecond
	// maxRefusalBackoff bounds the backoff after refusals.
	maxRefusalBackoff = 2 * time.Second
	// gangRetryPause is the delay before a gang that did not fit is tried
	// again.
	gangRetryPause = 50 * time.Millisecond
)

// choice is the worker chosen for one task.
type choice struct {
	task   int
	view   *view
	worker string
}

// place starts the queued work that fits, in order of class.
func (c *Core) place() {
	c.unreserveIfDone()
	for k := range c.queues {
		q := &c.queues[k]
		for q.readyCount > 0 {
			l := q.pick(c.now, class(k) == allAtOnce)
			c.placeFirst(q, l)
		}
	}
}

// placeFirst places the first job of a subqueue, or records why it can't be
// placed.
func (c *Core) placeFirst(q *queue, l *subqueue) {
	j := l.first
	if !j.placeable() {
		c.unqueue(j)
		return
	}
	cause := c.placeJob(j)
	if cause == noCapacity && l.tasks == 0 && c.mustYield(j) {
		cause = yielding
	}
	switch {
	case cause == ready:
		c.unqueue(j)
	case cause == noCapacity && j.avoidRack != "":
		c.unqueue(j)
		c.postpone(j, minRefusalBackoff)
	case cause == noCapacity && l.tasks > 0:
		c.requestReservation(j)
		c.unqueue(j)
		c.postpone(j, gangRetryPause)
	default:
		q.setCause(l, cause)
		if cause == noCapacity {
			c.preempt(j)
		}
	}
}

// postpone puts a job back into the queue after a delay with jitter.
func (c *Core) postpone(j *job, pause time.Duration) {
	j.avoidRack = ""
	j.notBefore = c.now.Add(c.jitter(pause))
	c.wakeBy(j, j.notBefore)
}

// jitter returns a random duration between half of d and one and a half of it.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.random.Int64N(int64(d)+1))
}

// placeJob chooses workers for the waiting tasks of a job. It returns ready if
// none is left waiting, otherwise what blocks the rest.
func (c *Core) placeJob(j *job) blockCause {
	if j.work.NeedsDurableRecord() && !c.leaseValid {
		return noLease
	}
	choices, cause := c.chooseWorkers(j)
	if j.isGang() && cause != ready {
		c.undoChoices(j, choices)
		return cause
	}
	c.beginAttempts(j, choices)
	return cause
}

// undoChoices releases the capacity and quota of choices that are not used.
func (c *Core) undoChoices(j *job, choices []choice) {
	for _, ch := range choices {
		c.uncharge(j, ch.task)
		ch.view.cancelDebit(j.attemptID(ch.task))
		j.tasks[ch.task].number--
		j.tasks[ch.task].rack = ""
	}
}

// beginAttempts records the chosen attempts, or starts them at once if the job
// needs no record.
func (c *Core) beginAttempts(j *job, choices []choice) {
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
		c.startAttempt(j, b.Attempt)
	}
}

// commit advances the chosen attempts and returns what must be durable before
// they start.
func (c *Core) commit(j *job, choices []choice) []record.Begun {
	c.startRate.startCount++
	j.avoidRack, j.blockedSince = "", time.Time{}
	begun := make([]record.Begun, len(choices))
	for i, ch := range choices {
		j.stepAttempt(ch.task, "Choose")
		begun[i] = record.Begun{Attempt: j.attemptID(ch.task), Rack: ch.view.digest.Rack, Epoch: ch.view.digest.Epoch}
	}
	return begun
}

// startAttempt commands the rack's owner to start an attempt, or to hold
// capacity for a task of a gang.
func (c *Core) startAttempt(j *job, id task.AttemptID) {
	if j.tasks[id.Task].number != id.Number || !j.stepAttempt(id.Task, "Recorded") {
		return
	}
	verb := Place
	if j.isGang() {
		verb = Hold
	}
	c.sendCommand(j, id.Task, verb)
}

// onNotBegun requeues a task whose attempt could not be recorded. No command
// was sent for it, so it can't have started.
func (c *Core) onNotBegun(j *job, b record.Begun) {
	i := b.Attempt.Task
	if j.tasks[i].number != b.Attempt.Number || !j.stepAttempt(i, "RecordFailed") {
		return
	}
	c.release(j, i)
	j.tasks[i].rack = ""
	c.retryRefused(j, i, "")
}

func (c *Core) sendCommand(j *job, i int, verb Verb) {
	a := &j.tasks[i]
	a.lastCommandAt = c.now
	cmd := Command{Verb: verb, Attempt: j.attemptID(i), Rack: a.rack, Worker: a.worker,
		Partition: j.partition, Durable: j.work.NeedsDurableRecord(), Epoch: a.epoch}
	switch verb {
	case Place, Hold, Confirm:
		cmd.Size = a.size
		cmd.Kind = j.work.Kind
		cmd.RunTime = j.work.RunTime
		cmd.Payload = j.work.Payload
		cmd.Avoid = c.closedWorkers(a.rack)
	}
	if verb != Forget {
		c.wakeBy(j, c.now.Add(answerTimeout))
	}
	c.emit(cmd)
}

// enqueueIfIdle queues a job whose delay is over, unless it is queued already.
func (c *Core) enqueueIfIdle(j *job) {
	if j.subqueue == nil {
		c.enqueue(j)
	}
}

// requeue puts a job with a waiting task back into the queue.
func (c *Core) requeue(j *job) {
	if j.activeCount() == 0 {
		j.step("Requeue")
	}
	if j.placeable() {
		c.enqueue(j)
	}
}

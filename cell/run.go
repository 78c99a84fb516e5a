package cell

import (
	"slices"
	"sync"
	"time"

	"github.com/vanillaquay/vanillaquay/chart"
	"github.com/vanillaquay/vanillaquay/pace"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// runChart is the state machine of a run.
var runChart = chart.MustLoad("Run")

// The states of runChart that the code refers to.
const (
	placed      chart.State = "Placed"
	doubtful    chart.State = "Doubtful"
	unsettled   chart.State = "Unsettled"
	running     chart.State = "Running"
	withdrawing chart.State = "Withdrawing"
	closed      chart.State = "Closed"
)

// stopRetryInterval is the delay before an order to stop that had no effect is sent again. A
// stop takes 900 ms at most on the slower of the two sites.
const stopRetryInterval = 1100 * time.Millisecond

// run is one run of a task on one worker.
type run struct {
	id     workload.TaskID
	number int
	size   task.Size
	// lasts reports whether the run belongs to a daemon, which does not end by itself.
	lasts bool
	// charge is what the run counts against the limit of its organisation: the full size of its
	// step, also for a filler.
	charge       task.Size
	organisation string
	// worker is the worker's announcement at the time of placement.
	worker workload.Worker
	state  chart.State
	// placedAt is when the run was given its capacity. confirmedAt is when the result of the
	// order to start arrived or the run was last reported; only a report requested later can
	// show that the run is missing.
	placedAt, confirmedAt time.Duration
	// stopSentAt is when the last order to stop was issued, stopConfirmedAt when the worker
	// first accepted one; 0 is never.
	stopSentAt, stopConfirmedAt time.Duration
	// begunAt is when the worker was first known to have the run; 0 is not yet. An order to
	// start waits for its record, which takes seconds while the store is unavailable.
	begunAt time.Duration
	// percent is the progress, which last changed at progressedAt.
	percent      float64
	progressedAt time.Duration
	// restored reports whether an earlier owner placed the run, so that its age is unknown.
	restored bool
	// orderedShare is the last processor share that was ordered, in percent.
	orderedShare int
	// order tells the senders of orders whether the run may be started and has to be stopped.
	order startOrder
}

// startOrder is the state of the order to start a run. Orders are sent by other goroutines
// than the one that uses the cell. In its zero value the order may be sent.
type startOrder struct {
	mu sync.Mutex
	// isSent reports whether a copy may have been sent, isRevoked whether none may be sent
	// any more, and isUnanswered whether one had no answer.
	isSent, isRevoked, isUnanswered bool
}

// claim reports whether a copy of the order may be sent now, and notes that it is.
func (o *startOrder) claim() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.isSent = o.isSent || !o.isRevoked
	return !o.isRevoked
}

func (o *startOrder) revoke() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.isRevoked = true
}

func (o *startOrder) noteUnanswered() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.isUnanswered = true
}

// hasUnansweredCopy reports whether a copy may still be on its way, even if another one was
// accepted.
func (o *startOrder) hasUnansweredCopy() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.isUnanswered
}

// mayBeCarriedOut reports whether a worker may start the run.
func (o *startOrder) mayBeCarriedOut() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.isSent || !o.isRevoked
}

// runKey identifies a run on a worker.
type runKey struct {
	task   workload.TaskID
	number int
}

// applyEvent moves a run to its next state. An event that the current state does not accept
// is logged and otherwise ignored.
func (c *Cell) applyEvent(r *run, event chart.Event) {
	next, err := runChart.Next(r.state, event)
	if err != nil {
		c.log(LogEntry{Event: "event ignored", Job: r.id.Job, Task: r.id.String(), Run: r.number, Worker: r.worker.ID, Reason: err.Error()})
		return
	}
	r.state = next
}

// markBegun records the time at which the worker is first known to have the run. The run
// can't have made progress before.
func (c *Cell) markBegun(now time.Duration, r *run) {
	if r.state != running || r.begunAt != 0 {
		return
	}
	r.begunAt, r.progressedAt = now, now
	if s, _ := c.findTask(r.id); s != nil {
		s.job.started = true
	}
}

// placeRun allocates the capacity for a run and issues the order to start it.
func (c *Cell) placeRun(now time.Duration, s *step, t *taskRecord, w *worker, number int) {
	r := &run{
		id: s.taskID(t), number: number, size: s.Demand(), lasts: s.Daemon, worker: w.Worker, state: runChart.Initial(),
		placedAt: now, progressedAt: now, orderedShare: pace.FullShare,
	}
	t.lastRun = number
	c.openRun(s, t, w, r)
	s.hadRun = true
	if s.job.state == workload.Queued {
		s.job.state = workload.Running
	}
	c.markChanged(s.job)
	c.actions.Starts = append(c.actions.Starts, Start{
		run: r, Worker: w.Worker, Task: r.id, Run: number, Spec: s.job.Spec, Checkpoint: t.checkpoint, Ticket: s.tickets.byWorker[w.ID].value, TicketUntil: s.tickets.byWorker[w.ID].expiresAt,
	})
}

// ShouldSend reports whether an order to start is still to be sent. It compares the run
// itself, not only its number: a job that was abandoned and submitted again may have another
// run of the same number on the worker, whose record isn't durable yet.
func (c *Cell) ShouldSend(s Start) bool {
	w := c.workers[s.Worker.ID]
	if w == nil {
		return false
	}
	r := w.runs[runKey{s.Task, s.Run}]
	return r != nil && r == s.run && r.state == placed && !w.Draining
}

// HandleUnsentStart processes an order to start that was not sent and won't be.
func (c *Cell) HandleUnsentStart(now time.Duration, s Start) {
	if w := c.workers[s.Worker.ID]; w != nil && w.runs[runKey{s.Task, s.Run}] == s.run {
		c.HandleStartAnswer(now, s.Task, s.Run, s.Worker.ID, Unsent)
	}
}

// HandleStartAnswer processes the answer to an order to start.
func (c *Cell) HandleStartAnswer(now time.Duration, id workload.TaskID, number int, worker string, answer Answer) {
	w := c.workers[worker]
	if w == nil {
		return
	}
	r := w.runs[runKey{id, number}]
	if r == nil {
		return
	}
	r.confirmedAt = now
	switch answer {
	case Accepted:
		c.applyEvent(r, "Accepted")
		c.markBegun(now, r)
		return
	case NoRoom, BadTicket, Superseded, TooLate, Fenced, OtherLife, Unwell, Invalid, Unreached, Unsent:
		c.applyEvent(r, "Refused")
		c.handleRefusal(now, w, r, answer)
	default:
		// An unknown answer, from a carrier of another version, is treated like none: the
		// order may still be carried out.
		c.applyEvent(r, "NoAnswer")
		w.penaliseFor(now, r)
		c.actions.Polls = append(c.actions.Polls, Poll{worker})
	}
	c.log(LogEntry{Event: "start " + string(answer), Job: id.Job, Task: id.String(), Run: number, Worker: worker, Age: now - r.placedAt})
	if r.state == closed {
		c.closeRun(now, w, r)
	}
}

// handleRefusal updates the worker or the ticket after a refused start.
func (c *Cell) handleRefusal(now time.Duration, w *worker, r *run, answer Answer) {
	switch answer {
	case Unwell, Unreached, OtherLife, NoRoom, Invalid:
		w.penaliseFor(now, r)
	case BadTicket:
		if s, _ := c.findTask(r.id); s != nil {
			s.tickets.invalidate(w.ID)
		}
	}
}

// HandleStopAnswer processes the answer to an order to stop.
func (c *Cell) HandleStopAnswer(now time.Duration, id workload.TaskID, number int, worker string, answer Answer) {
	w := c.workers[worker]
	if w == nil {
		return
	}
	r := w.runs[runKey{id, number}]
	if r == nil || answer != Accepted {
		return
	}
	if r.stopConfirmedAt == 0 {
		r.stopConfirmedAt = now
		c.actions.Polls = append(c.actions.Polls, Poll{worker})
	}
}

// withdrawAll withdraws the given runs.
func (c *Cell) withdrawAll(now time.Duration, runs []*run, reason string) {
	for _, r := range runs {
		c.withdraw(now, r, reason)
	}
}

// withdraw stops a run whose result no longer counts.
func (c *Cell) withdraw(now time.Duration, r *run, reason string) {
	if r.state == withdrawing || r.state == closed {
		return
	}
	c.applyEvent(r, "Withdraw")
	r.order.revoke()
	c.log(LogEntry{Event: "run withdrawn", Job: r.id.Job, Task: r.id.String(), Run: r.number, Worker: r.worker.ID, Reason: reason})
	c.sendStop(now, r)
}

func (c *Cell) sendStop(now time.Duration, r *run) {
	r.stopSentAt = now
	c.actions.Stops = append(c.actions.Stops, Stop{Worker: r.worker, Task: r.id, Run: r.number, run: r})
}

// closeRun frees the capacity of a run that can no longer be running.
func (c *Cell) closeRun(now time.Duration, w *worker, r *run) {
	r.state = closed
	r.order.revoke()
	if w.remove(r) {
		c.usage.Remove(r.organisation, r.charge)
	}
	c.stale = true
	s, t := c.findTask(r.id)
	if s == nil {
		return
	}
	t.runs = slices.DeleteFunc(t.runs, func(other *run) bool { return other == r })
	c.markChanged(s.job)
	if s.Daemon {
		s.waitingSince = now
	}
	if s.Gang {
		c.stopGangRun(now, s, r)
	}
}

package cell

import (
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/chart"
	"github.com/vanillaquay/vanillaquay/pace"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// runChart is the life of a run.
var runChart = chart.MustLoad("Run")

// The states of runChart that code asks for.
const (
	placed      chart.State = "Placed"
	doubtful    chart.State = "Doubtful"
	unsettled   chart.State = "Unsettled"
	running     chart.State = "Running"
	withdrawing chart.State = "Withdrawing"
	closed      chart.State = "Closed"
)

// stopRetryInterval is the pause before a stop without effect is sent again. A stop takes
// 900 ms at most on the slower of the two sites.
const stopRetryInterval = 1100 * time.Millisecond

// run is one run of a task on one worker.
type run struct {
	id     workload.TaskID
	number int
	size   task.Size
	// worker is as it was when the run was placed.
	worker workload.Worker
	state  chart.State
	// placedAt is when the room was taken, settledAt when the answer to the last
	// order came; a report that was asked for later tells the truth.
	placedAt, confirmedAt time.Duration
	// stopSentAt is when the last stop was handed out, stopped when a worker has
	// confirmed one; 0 is never.
	stopSentAt, stopConfirmedAt time.Duration
	// begunAt is when the worker was first known to have the run; 0 is not yet. An order
	// waits for its record, which takes seconds while the store is away.
	begunAt time.Duration
	// percent is the progress, which last rose at progressed.
	percent      float64
	progressedAt time.Duration
	// restored tells that an earlier owner placed the run, so that its age is not
	// known.
	restored bool
	// orderedShare is the last share that was ordered, in percent.
	orderedShare int
}

// runKey names a run on a worker.
type runKey struct {
	task   workload.TaskID
	number int
}

// applyEvent moves a run to the next state; an event that the state does not take is
// noted and has no effect.
func (c *Cell) applyEvent(r *run, event chart.Event) {
	next, err := runChart.Next(r.state, event)
	if err != nil {
		c.log(LogEntry{Event: "event ignored", Job: r.id.Job, Task: r.id.String(), Run: r.number, Worker: r.worker.ID, Reason: err.Error()})
		return
	}
	r.state = next
}

// markBegun notes that the worker has a run, which has made no progress before.
func (c *Cell) markBegun(now time.Duration, r *run) {
	if r.state != running || r.begunAt != 0 {
		return
	}
	r.begunAt, r.progressedAt = now, now
	if s, _ := c.findTask(r.id); s != nil {
		s.job.started = true
	}
}

// placeRun takes room for a run and hands out the order to start it.
func (c *Cell) placeRun(now time.Duration, s *step, t *taskRecord, w *worker, number int) {
	r := &run{
		id: s.taskID(t), number: number, size: s.Demand(), worker: w.Worker, state: runChart.Initial(),
		placedAt: now, progressedAt: now, orderedShare: pace.FullShare,
	}
	t.lastRun = number
	t.runs = append(t.runs, r)
	w.add(r)
	s.hadRun = true
	if s.job.state == workload.Queued {
		s.job.state = workload.Running
	}
	c.markChanged(s.job)
	c.actions.Starts = append(c.actions.Starts, Start{
		run: r, Worker: w.Worker, Task: r.id, Run: number, Spec: s.job.Spec, Checkpoint: t.checkpoint, Ticket: s.tickets.byWorker[w.ID].value, TicketUntil: s.tickets.byWorker[w.ID].expiresAt,
	})
}

// ShouldSend reports whether an order to start is still to be sent. A job that was
// abandoned and handed in again may have another run of the same number there, whose
// record isn't durable yet.
func (c *Cell) ShouldSend(s Start) bool {
	w := c.workers[s.Worker.ID]
	if w == nil {
		return false
	}
	r := w.runs[runKey{s.Task, s.Run}]
	return r != nil && r == s.run && r.state == placed && !w.Draining
}

// HandleUnsentStart tells that an order to start was not sent and won't be.
func (c *Cell) HandleUnsentStart(now time.Duration, s Start) {
	if w := c.workers[s.Worker.ID]; w != nil && w.runs[runKey{s.Task, s.Run}] == s.run {
		c.HandleStartAnswer(now, s.Task, s.Run, s.Worker.ID, Unsent)
	}
}

// HandleStartAnswer tells what became of an order to start.
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
		// One that is not known, from a carrier of another version, says nothing either.
		c.applyEvent(r, "NoAnswer")
		w.penalise(now)
		c.actions.Polls = append(c.actions.Polls, Poll{worker})
	}
	c.log(LogEntry{Event: "start " + string(answer), Job: id.Job, Task: id.String(), Run: number, Worker: worker, Age: now - r.placedAt})
	if r.state == closed {
		c.closeRun(now, w, r)
	}
}

// handleRefusal draws the conclusion from a start that a worker turned down.
func (c *Cell) handleRefusal(now time.Duration, w *worker, r *run, answer Answer) {
	switch answer {
	case Unwell, Unreached, OtherLife, NoRoom, Invalid:
		w.penalise(now)
	case BadTicket:
		if s, _ := c.findTask(r.id); s != nil {
			s.tickets.invalidate(w.ID)
		}
	}
}

// HandleStopAnswer tells what became of an order to stop.
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

// withdrawAll stops runs.
func (c *Cell) withdrawAll(now time.Duration, runs []*run, why string) {
	for _, r := range runs {
		c.withdraw(now, r, why)
	}
}

// withdraw stops a run; what it may still bring no longer counts.
func (c *Cell) withdraw(now time.Duration, r *run, why string) {
	if r.state == withdrawing || r.state == closed {
		return
	}
	c.applyEvent(r, "Withdraw")
	c.log(LogEntry{Event: "run withdrawn", Job: r.id.Job, Task: r.id.String(), Run: r.number, Worker: r.worker.ID, Reason: why})
	c.sendStop(now, r)
}

func (c *Cell) sendStop(now time.Duration, r *run) {
	r.stopSentAt = now
	c.actions.Stops = append(c.actions.Stops, Stop{Worker: r.worker, Task: r.id, Run: r.number})
}

// closeRun frees the room of a run that can't be running any more.
func (c *Cell) closeRun(now time.Duration, w *worker, r *run) {
	r.state = closed
	w.remove(r)
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

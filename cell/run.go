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

// stopRetry is the pause before a stop without effect is sent again. A stop takes
// 900 ms at most on the slower of the two sites.
const stopRetry = 1100 * time.Millisecond

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
	placedAt, settledAt time.Duration
	// stopSent is when the last stop was handed out, stopped when a worker has
	// confirmed one; 0 is never.
	stopSent, stopped time.Duration
	// begun is when the worker was first known to have the run; 0 is not yet. An order
	// waits for its record, which takes seconds while the store is away.
	begun time.Duration
	// percent is the progress, which last rose at progressed.
	percent    float64
	progressed time.Duration
	// restored tells that an earlier owner placed the run, so that its age is not
	// known.
	restored bool
	// share is the last share that was ordered, in percent.
	share int
}

// runKey names a run on a worker.
type runKey struct {
	task   workload.TaskID
	number int
}

// apply moves a run to the next state; an event that the state does not take is
// noted and has no effect.
func (c *Cell) apply(r *run, event chart.Event) {
	next, err := runChart.Next(r.state, event)
	if err != nil {
		c.note(Note{What: "event ignored", Job: r.id.Job, Task: r.id.String(), Run: r.number, Worker: r.worker.ID, Why: err.Error()})
		return
	}
	r.state = next
}

// begin notes that the worker has a run, which has made no progress before.
func (c *Cell) begin(now time.Duration, r *run) {
	if r.state != running || r.begun != 0 {
		return
	}
	r.begun, r.progressed = now, now
	if s, _ := c.find(r.id); s != nil {
		s.job.started = true
	}
}

// place takes room for a run and hands out the order to start it.
func (c *Cell) place(now time.Duration, s *step, t *taskRecord, w *worker, number int) {
	r := &run{
		id: s.taskID(t), number: number, size: s.Room(), worker: w.Worker, state: runChart.Initial(),
		placedAt: now, progressed: now, share: pace.FullShare,
	}
	t.run = number
	t.runs = append(t.runs, r)
	w.add(r)
	s.begun = true
	if s.job.state == workload.Queued {
		s.job.state = workload.Running
	}
	c.change(s.job)
	c.actions.Starts = append(c.actions.Starts, Start{
		run: r, Worker: w.Worker, Task: r.id, Run: number, Spec: s.job.Spec, Checkpoint: t.checkpoint, Ticket: s.tickets.good[w.ID].value, TicketUntil: s.tickets.good[w.ID].until,
	})
}

// Wanted reports whether an order to start is still to be sent. A job that was
// abandoned and handed in again may have another run of the same number there, whose
// record isn't durable yet.
func (c *Cell) Wanted(s Start) bool {
	w := c.workers[s.Worker.ID]
	if w == nil {
		return false
	}
	r := w.runs[runKey{s.Task, s.Run}]
	return r != nil && r == s.run && r.state == placed && !w.Draining
}

// Unsent tells that an order to start was not sent and won't be.
func (c *Cell) Unsent(now time.Duration, s Start) {
	if w := c.workers[s.Worker.ID]; w != nil && w.runs[runKey{s.Task, s.Run}] == s.run {
		c.Answered(now, s.Task, s.Run, s.Worker.ID, Unsent)
	}
}

// Answered tells what became of an order to start.
func (c *Cell) Answered(now time.Duration, id workload.TaskID, number int, worker string, answer Answer) {
	w := c.workers[worker]
	if w == nil {
		return
	}
	r := w.runs[runKey{id, number}]
	if r == nil {
		return
	}
	r.settledAt = now
	switch answer {
	case Accepted:
		c.apply(r, "Accepted")
		c.begin(now, r)
		return
	case NoRoom, BadTicket, Superseded, TooLate, Fenced, OtherLife, Unwell, Invalid, Unreached, Unsent:
		c.apply(r, "Refused")
		c.refused(now, w, r, answer)
	default:
		// One that is not known, from a carrier of another version, says nothing either.
		c.apply(r, "NoAnswer")
		w.strike(now)
		c.actions.Looks = append(c.actions.Looks, Look{worker})
	}
	c.note(Note{What: "start " + string(answer), Job: id.Job, Task: id.String(), Run: number, Worker: worker, Age: now - r.placedAt})
	if r.state == closed {
		c.closeRun(now, w, r)
	}
}

// refused draws the conclusion from a start that a worker turned down.
func (c *Cell) refused(now time.Duration, w *worker, r *run, answer Answer) {
	switch answer {
	case Unwell, Unreached, OtherLife, NoRoom, Invalid:
		w.strike(now)
	case BadTicket:
		if s, _ := c.find(r.id); s != nil {
			s.tickets.drop(w.ID)
		}
	}
}

// StopAnswered tells what became of an order to stop.
func (c *Cell) StopAnswered(now time.Duration, id workload.TaskID, number int, worker string, answer Answer) {
	w := c.workers[worker]
	if w == nil {
		return
	}
	r := w.runs[runKey{id, number}]
	if r == nil || answer != Accepted {
		return
	}
	if r.stopped == 0 {
		r.stopped = now
		c.actions.Looks = append(c.actions.Looks, Look{worker})
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
	c.apply(r, "Withdraw")
	c.note(Note{What: "run withdrawn", Job: r.id.Job, Task: r.id.String(), Run: r.number, Worker: r.worker.ID, Why: why})
	c.sendStop(now, r)
}

func (c *Cell) sendStop(now time.Duration, r *run) {
	r.stopSent = now
	c.actions.Stops = append(c.actions.Stops, Stop{Worker: r.worker, Task: r.id, Run: r.number})
}

// closeRun frees the room of a run that can't be running any more.
func (c *Cell) closeRun(now time.Duration, w *worker, r *run) {
	r.state = closed
	w.remove(r)
	c.stale = true
	s, t := c.find(r.id)
	if s == nil {
		return
	}
	t.runs = slices.DeleteFunc(t.runs, func(other *run) bool { return other == r })
	c.change(s.job)
	if s.Daemon {
		s.since = now
	}
	if s.Gang {
		c.gangLost(now, s, r)
	}
}

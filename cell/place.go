package cell

import (
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// maxColdMS is the rest of a worker's slow start above which others go first.
const maxColdMS = 500

// matchesStep reports whether a worker is of the service and kind that a step needs.
func matchesStep(s *step, queue workload.Queue, w *worker) bool {
	if queue.Service != w.Service {
		return false
	}
	return s.Requires == "" || slices.Contains(w.Labels, s.Requires)
}

// candidates returns the workers that may run a step, whether there is a ticket
// for them or not.
func (c *Cell) candidates(now time.Duration, s *step, queue workload.Queue) []*worker {
	var list []*worker
	for _, w := range c.permittedWorkers(s, queue) {
		if c.usable(now, w) && matchesStep(s, queue, w) {
			list = append(list, w)
		}
	}
	return list
}

// permittedWorkers returns the workers that advice lets a step run on, or all if it needs none.
// They are few in a large cell, and a step is looked at again with each decision.
func (c *Cell) permittedWorkers(s *step, queue workload.Queue) []*worker {
	if queue.Advice == nil {
		return c.sortedWorkers
	}
	list := make([]*worker, 0, len(s.tickets.workerIDs))
	for _, id := range s.tickets.workerIDs {
		if w := c.workers[id]; w != nil {
			list = append(list, w)
		}
	}
	return list
}

// withTickets returns those of a list for which there is a ticket, if one is needed.
func (c *Cell) withTickets(now time.Duration, s *step, queue workload.Queue, list []*worker) []*worker {
	if queue.Advice == nil {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(w *worker) bool { return !c.hasTicket(now, s, w) })
}

// runCountOn counts the runs of a step on a worker.
func (s *step) runCountOn(w *worker) int {
	n := 0
	for key := range w.runs {
		if key.task.StepID == s.id {
			n++
		}
	}
	return n
}

// placeTasks starts the tasks of a step that wait, each on the best worker. If
// tasks are left, it asks for tickets of workers that have room.
func (c *Cell) placeTasks(now time.Duration, s *step, queue workload.Queue) {
	list := c.candidates(now, s, queue)
	allowed := c.withTickets(now, s, queue, list)
	for _, t := range s.tasks {
		if !t.needsRun(now) {
			continue
		}
		w := bestWorker(s, allowed, nil)
		if w == nil {
			c.askForTickets(now, s, queue, list)
			return
		}
		c.placeRun(now, s, t, w, t.lastRun+1)
	}
}

// askForTickets asks for new tickets of good workers if one of them has room, or else about
// workers that were never named and have room. The question also names good ones without
// room: a task starts there as soon as another ends, while the ticket holds.
func (c *Cell) askForTickets(now time.Duration, s *step, queue workload.Queue, good []*worker) {
	if queue.Advice == nil || s.tickets.awaitsAnswer(now) {
		return
	}
	wanted := askedCapacityFactor * s.waitingTaskCount(now)
	var roomy, busy []*worker
	for _, w := range good {
		switch {
		case c.hasTicket(now, s, w):
		case s.fitCount(w) > 0:
			roomy = append(roomy, w)
		default:
			busy = append(busy, w)
		}
	}
	if len(roomy) > 0 {
		c.ask(now, s, queue, c.selectEnough(queue, append(roomy, busy...), 1, wanted, s.expectedSlots))
		return
	}
	c.ask(now, s, queue, c.selectEnough(queue, c.unaskedFitting(now, s, queue), c.eligibleRatios.of(queue.Name), wanted, s.expectedSlots))
}

// bestWorker returns the worker on which a task of the step leaves least room, of those
// near its data if it fits there. Those in full are passed over.
func bestWorker(s *step, list []*worker, full map[*worker]bool) *worker {
	size := s.Demand()
	var chosen *worker
	var chosenRank workerRank
	for _, w := range list {
		spare := w.available()
		if !size.Fits(spare) || full[w] {
			continue
		}
		if s.MaxPerWorker > 0 && s.runCountOn(w) >= s.MaxPerWorker {
			continue
		}
		r := rankWorker(s, w, spare.Minus(size))
		if chosen == nil || r.before(chosenRank) {
			chosen, chosenRank = w, r
		}
	}
	return chosen
}

// workerRank orders workers for a task, best first.
type workerRank struct {
	far, cold bool
	// consecutiveFailures are failures since the worker's last success.
	consecutiveFailures int
	// speed counts for jobs in a hurry only.
	speed int
	// leftover is the share of the worker that stays free.
	leftover float64
}

func rankWorker(s *step, w *worker, rest task.Size) workerRank {
	speed := 0
	if s.tightDeadline {
		speed = w.speedLevel()
	}
	return workerRank{
		speed:               speed,
		far:                 s.Affinity != "" && w.Rack() != s.Affinity,
		cold:                w.Cold > maxColdMS,
		consecutiveFailures: w.consecutiveFailures,
		leftover:            rest.DominantShare(w.Capacity),
	}
}

func (r workerRank) before(other workerRank) bool {
	switch {
	case r.far != other.far:
		return !r.far
	case r.cold != other.cold:
		return !r.cold
	case r.consecutiveFailures != other.consecutiveFailures:
		return r.consecutiveFailures < other.consecutiveFailures
	case r.speed != other.speed:
		return r.speed > other.speed
	default:
		return r.leftover < other.leftover
	}
}

package cell

import (
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// maxColdMS is the remaining slow phase after a worker's start, in milliseconds, above which
// other workers are preferred.
const maxColdMS = 500

// matchesStep reports whether a worker belongs to the service, and has the label, that a step
// requires.
func matchesStep(s *step, queue workload.Queue, w *worker) bool {
	if queue.Service != w.Service {
		return false
	}
	return s.Requires == "" || slices.Contains(w.Labels, s.Requires)
}

// candidates returns the usable workers that may run a step, with or without a valid ticket.
func (c *Cell) candidates(now time.Duration, s *step, queue workload.Queue) []*worker {
	var list []*worker
	for _, w := range c.eligibleWorkers(s, queue) {
		if c.usable(now, w) && matchesStep(s, queue, w) {
			list = append(list, w)
		}
	}
	return list
}

// eligibleWorkers returns the workers that may run a step according to the advice service, or
// all if the queue needs no advice. In a large cell they are a small part of the workers, and a
// step is evaluated again with each scheduling pass.
func (c *Cell) eligibleWorkers(s *step, queue workload.Queue) []*worker {
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

// withTickets returns the workers of a list for which there is a valid ticket, or all if the
// queue needs none.
func (c *Cell) withTickets(now time.Duration, s *step, queue workload.Queue, list []*worker) []*worker {
	if queue.Advice == nil {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(w *worker) bool { return !c.hasTicket(now, s, w) })
}

// runCountOn returns the number of runs of a step on a worker.
func (s *step) runCountOn(w *worker) int {
	n := 0
	for key := range w.runs {
		if key.task.StepID == s.id {
			n++
		}
	}
	return n
}

// placeTasks starts the waiting tasks of a step, each on the best worker. If tasks remain, it
// asks for tickets of workers with capacity.
func (c *Cell) placeTasks(now time.Duration, s *step, queue workload.Queue) {
	list := c.candidates(now, s, queue)
	allowed := c.withTickets(now, s, queue, list)
	for _, t := range s.tasks {
		if !t.needsRun(now) {
			continue
		}
		if c.headroomCount(s) == 0 {
			return
		}
		w := bestWorker(s, allowed, nil)
		if w == nil {
			c.askForTickets(now, s, queue, list)
			return
		}
		c.placeRun(now, s, t, w, t.lastRun+1)
	}
}

// askForTickets asks for new tickets of eligible workers if one of them has capacity, and
// otherwise about workers with capacity not named in any question before. The first kind of
// question also names eligible workers without capacity: a task can start there as soon as
// another ends, while the ticket is valid.
func (c *Cell) askForTickets(now time.Duration, s *step, queue workload.Queue, eligible []*worker) {
	if queue.Advice == nil || s.tickets.awaitsAnswer(now) {
		return
	}
	wanted := askedCapacityFactor * c.startableCount(now, s)
	var withCapacity, busy []*worker
	for _, w := range eligible {
		switch {
		case c.hasTicket(now, s, w):
		case s.fitCount(w) > 0:
			withCapacity = append(withCapacity, w)
		default:
			busy = append(busy, w)
		}
	}
	if len(withCapacity) > 0 {
		c.ask(now, s, queue, c.selectEnough(queue, append(withCapacity, busy...), 1, wanted, s.expectedSlots))
		return
	}
	c.ask(now, s, queue, c.selectEnough(queue, c.unaskedFitting(now, s, queue), c.eligibleRatios.of(queue.Name), wanted, s.expectedSlots))
}

// bestWorker returns the worker on which a task of the step leaves the least capacity free,
// preferring those near its data. It skips the excluded workers.
func bestWorker(s *step, list []*worker, excluded map[*worker]bool) *worker {
	size := s.Demand()
	var chosen *worker
	var chosenRank workerRank
	for _, w := range list {
		available := w.available()
		if !size.Fits(available) || excluded[w] {
			continue
		}
		if s.MaxPerWorker > 0 && s.runCountOn(w) >= s.MaxPerWorker {
			continue
		}
		r := rankWorker(s, w, available.Minus(size))
		if chosen == nil || r.before(chosenRank) {
			chosen, chosenRank = w, r
		}
	}
	return chosen
}

// workerRank orders workers for a task, best first.
type workerRank struct {
	far, cold bool
	// failureScore is the failure score of the worker.
	failureScore int
	// outlook is compared only for jobs that depend on the speed of their workers, and is good
	// for others.
	outlook outlook
	// speed is compared only for jobs with a tight deadline or a fair outlook, and is 0 for
	// others.
	speed int
	// leftover is the share of the worker that stays free.
	leftover float64
}

func rankWorker(s *step, w *worker, leftover task.Size) workerRank {
	outlook, speed := good, 0
	if s.deadline.applies() {
		outlook = s.deadline.on(w)
	}
	if outlook == fair || s.tightDeadline && !s.deadline.applies() {
		speed = w.speedLevel()
	}
	return workerRank{
		outlook:      outlook,
		speed:        speed,
		far:          s.Affinity != "" && w.Rack() != s.Affinity,
		cold:         w.Cold > maxColdMS,
		failureScore: w.failureScore,
		leftover:     leftover.DominantShare(w.Capacity),
	}
}

func (r workerRank) before(other workerRank) bool {
	switch {
	case r.far != other.far:
		return !r.far
	case r.cold != other.cold:
		return !r.cold
	case r.failureScore != other.failureScore:
		return r.failureScore < other.failureScore
	case r.outlook != other.outlook:
		return r.outlook < other.outlook
	case r.speed != other.speed:
		return r.speed > other.speed
	default:
		return r.leftover < other.leftover
	}
}

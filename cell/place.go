package cell

import (
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// coldBound is the rest of a worker's slow start above which others go first.
const coldBound = 500

// serves reports whether a worker is of the service and kind that a step needs.
func serves(s *step, queue workload.Queue, w *worker) bool {
	if queue.Service != w.Service {
		return false
	}
	return s.Requires == "" || slices.Contains(w.Labels, s.Requires)
}

// candidates returns the workers that may run a step, whether there is a ticket
// for them or not.
func (c *Cell) candidates(now time.Duration, s *step, queue workload.Queue) []*worker {
	var list []*worker
	for _, w := range c.allowed(s, queue) {
		if c.usable(now, w) && serves(s, queue, w) {
			list = append(list, w)
		}
	}
	return list
}

// allowed returns the workers that advice lets a step run on, or all if it needs none.
// They are few in a large cell, and a step is looked at again with each decision.
func (c *Cell) allowed(s *step, queue workload.Queue) []*worker {
	if queue.Advice == nil {
		return c.order
	}
	list := make([]*worker, 0, len(s.tickets.named))
	for _, id := range s.tickets.named {
		if w := c.workers[id]; w != nil {
			list = append(list, w)
		}
	}
	return list
}

// ticketed returns those of a list for which there is a ticket, if one is needed.
func (c *Cell) ticketed(now time.Duration, s *step, queue workload.Queue, list []*worker) []*worker {
	if queue.Advice == nil {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(w *worker) bool { return !c.valid(now, s, w) })
}

// tasksOn counts the runs of a step on a worker.
func (s *step) tasksOn(w *worker) int {
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
	allowed := c.ticketed(now, s, queue, list)
	for _, t := range s.tasks {
		if !t.waits(now) {
			continue
		}
		w := best(s, allowed, nil)
		if w == nil {
			c.askMore(now, s, queue, list)
			return
		}
		c.place(now, s, t, w, t.run+1)
	}
}

// askMore asks for new tickets of good workers if one of them has room, or else about
// workers that were never named and have room. The question also names good ones without
// room: a task starts there as soon as another ends, while the ticket holds.
func (c *Cell) askMore(now time.Duration, s *step, queue workload.Queue, good []*worker) {
	if queue.Advice == nil || s.tickets.waitsForAnswer(now) {
		return
	}
	wanted := namedRoom * s.waitingTasks(now)
	var roomy, busy []*worker
	for _, w := range good {
		switch {
		case c.valid(now, s, w):
		case s.fitting(w) > 0:
			roomy = append(roomy, w)
		default:
			busy = append(busy, w)
		}
	}
	if len(roomy) > 0 {
		c.ask(now, s, queue, c.enough(queue, append(roomy, busy...), 1, wanted, s.likelyRoom))
		return
	}
	c.ask(now, s, queue, c.enough(queue, c.unaskedWithRoom(now, s, queue), c.goodShares.of(queue.Name), wanted, s.likelyRoom))
}

// best returns the worker on which a task of the step leaves least room, of those
// near its data if it fits there. Those in full are passed over.
func best(s *step, list []*worker, full map[*worker]bool) *worker {
	size := s.Room()
	var chosen *worker
	var chosenRank placeRank
	for _, w := range list {
		spare := w.spare()
		if !size.Fits(spare) || full[w] {
			continue
		}
		if s.MaxPerWorker > 0 && s.tasksOn(w) >= s.MaxPerWorker {
			continue
		}
		r := rankOf(s, w, spare.Minus(size))
		if chosen == nil || r.before(chosenRank) {
			chosen, chosenRank = w, r
		}
	}
	return chosen
}

// placeRank orders workers for a task, best first.
type placeRank struct {
	far, cold bool
	// strikes are failures since the worker's last success.
	strikes int
	// speed counts for jobs in a hurry only.
	speed int
	// rest is the share of the worker that stays free.
	rest float64
}

func rankOf(s *step, w *worker, rest task.Size) placeRank {
	speed := 0
	if s.hurries {
		speed = w.speedStep()
	}
	return placeRank{
		speed:   speed,
		far:     s.Affinity != "" && w.Rack() != s.Affinity,
		cold:    w.Cold > coldBound,
		strikes: w.strikes,
		rest:    rest.DominantShare(w.Capacity),
	}
}

func (r placeRank) before(other placeRank) bool {
	switch {
	case r.far != other.far:
		return !r.far
	case r.cold != other.cold:
		return !r.cold
	case r.strikes != other.strikes:
		return r.strikes < other.strikes
	case r.speed != other.speed:
		return r.speed > other.speed
	default:
		return r.rest < other.rest
	}
}

package cell

import (
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// widenRoom is for how many times the tasks that lack room the likely good ones among
	// the workers of a question should have it: others take some of it until the answer.
	widenRoom = 2
	// gangSpread is for how many times its tasks the workers that a gang knows to be good
	// should have room, were they empty: a cell is three quarters full.
	gangSpread = 4
	// widenPause is after which time a gang asks about further workers though these have
	// too little room: it can't wait for ever for those that it knows.
	widenPause = 2 * time.Second
)

// askForGang asks for the tickets that a gang lacks, once it would have room with
// them.
func (c *Cell) askForGang(now time.Duration, s *step, queue workload.Queue, good []*worker) {
	if queue.Advice == nil || s.tickets.waitsForAnswer(now) {
		return
	}
	s.booked = planGang(s, good)
	if s.booked != nil {
		c.ask(now, s, queue, spareFor(s, s.booked, good))
		return
	}
	c.widenGang(now, s, queue, good)
}

// widenGang asks about workers that were never named: as many as a gang needs to know, or
// once those that are likely good have room for the tasks for which the good ones have none.
// The question also names the good ones with room, whose tickets may have lapsed, so that
// the gang can start on its answer.
func (c *Cell) widenGang(now time.Duration, s *step, queue workload.Queue, good []*worker) {
	planned := distinct(fill(s, good))
	if unknown := gangSpread*len(s.tasks) - s.slots(good); unknown > 0 {
		c.askOthers(now, s, queue, planned, c.enough(queue, c.unasked(s, queue), c.goodShares.of(queue.Name), unknown, asFloat(s.slotsOn)))
		return
	}
	lacking := len(s.tasks)
	for _, w := range planned {
		lacking -= s.fitting(w)
	}
	unasked := c.unaskedWithRoom(now, s, queue)
	room := 0
	for _, w := range unasked {
		room += s.fitting(w)
	}
	share := c.goodShares.of(queue.Name)
	if share*float64(room) < float64(lacking) && now-s.tickets.answered < widenPause {
		return
	}
	c.askOthers(now, s, queue, planned, c.enough(queue, unasked, share, widenRoom*lacking, asFloat(s.fitting)))
}

func asFloat(count func(w *worker) int) func(w *worker) float64 {
	return func(w *worker) float64 { return float64(count(w)) }
}

// askOthers asks about workers that were never named, if there are any, and some others.
func (c *Cell) askOthers(now time.Duration, s *step, queue workload.Queue, others, unasked []*worker) {
	if len(unasked) > 0 {
		c.ask(now, s, queue, append(others, unasked...))
	}
}

// slots returns how many tasks of a step some workers could have if they had no other work.
func (s *step) slots(workers []*worker) int {
	n := 0
	for _, w := range workers {
		n += s.slotsOn(w)
	}
	return n
}

// slotsOn is slots for one worker.
func (s *step) slotsOn(w *worker) int { return s.fittingIn(w.Capacity) }

// distinct returns the workers of a plan, each once.
func distinct(plan []*worker) []*worker {
	var workers []*worker
	for _, w := range plan {
		if !slices.Contains(workers, w) {
			workers = append(workers, w)
		}
	}
	return workers
}

// spareFor returns the workers of a plan, and half as many others with room for a task, so
// that a worker that fails meanwhile does not cost another question.
func spareFor(s *step, plan, good []*worker) []*worker {
	named := distinct(plan)
	spare := len(named)/2 + 1
	for _, w := range good {
		if spare == 0 {
			break
		}
		if !slices.Contains(named, w) && s.Room().Fits(w.spare()) {
			named = append(named, w)
			spare--
		}
	}
	return named
}

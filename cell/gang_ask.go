package cell

import (
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// widenCapacityFactor is for how many times the tasks that lack room the likely good ones among
	// the workers of a question should have it: others take some of it until the answer.
	widenCapacityFactor = 2
	// gangCapacityFactor is for how many times its tasks the workers that a gang knows to be good
	// should have room, were they empty: a cell is three quarters full.
	gangCapacityFactor = 4
	// widenTimeout is after which time a gang asks about further workers though these have
	// too little room: it can't wait for ever for those that it knows.
	widenTimeout = 2 * time.Second
)

// askForGang asks for the tickets that a gang lacks, once it would have room with
// them.
func (c *Cell) askForGang(now time.Duration, s *step, queue workload.Queue, good []*worker) {
	if queue.Advice == nil || s.tickets.awaitsAnswer(now) {
		return
	}
	s.bookedPlan = planGang(s, good)
	if s.bookedPlan != nil {
		c.ask(now, s, queue, withSpares(s, s.bookedPlan, good))
		return
	}
	c.widenGangSearch(now, s, queue, good)
}

// widenGangSearch asks about workers that were never named: as many as a gang needs to know, or
// once those that are likely good have room for the tasks for which the good ones have none.
// The question also names the good ones with room, whose tickets may have lapsed, so that
// the gang can start on its answer.
func (c *Cell) widenGangSearch(now time.Duration, s *step, queue workload.Queue, good []*worker) {
	planned := distinct(packTasks(s, good))
	if unknown := gangCapacityFactor*len(s.tasks) - s.totalSlots(good); unknown > 0 {
		c.askAboutNew(now, s, queue, planned, c.selectEnough(queue, c.unaskedWorkers(s, queue), c.eligibleRatios.of(queue.Name), unknown, asFloat(s.slotsOn)))
		return
	}
	lacking := len(s.tasks)
	for _, w := range planned {
		lacking -= s.fitCount(w)
	}
	unasked := c.unaskedFitting(now, s, queue)
	room := 0
	for _, w := range unasked {
		room += s.fitCount(w)
	}
	share := c.eligibleRatios.of(queue.Name)
	if share*float64(room) < float64(lacking) && now-s.tickets.answeredAt < widenTimeout {
		return
	}
	c.askAboutNew(now, s, queue, planned, c.selectEnough(queue, unasked, share, widenCapacityFactor*lacking, asFloat(s.fitCount)))
}

func asFloat(count func(w *worker) int) func(w *worker) float64 {
	return func(w *worker) float64 { return float64(count(w)) }
}

// askAboutNew asks about workers that were never named, if there are any, and some others.
func (c *Cell) askAboutNew(now time.Duration, s *step, queue workload.Queue, others, unasked []*worker) {
	if len(unasked) > 0 {
		c.ask(now, s, queue, append(others, unasked...))
	}
}

// totalSlots returns how many tasks of a step some workers could have if they had no other work.
func (s *step) totalSlots(workers []*worker) int {
	n := 0
	for _, w := range workers {
		n += s.slotsOn(w)
	}
	return n
}

// slotsOn is slots for one worker.
func (s *step) slotsOn(w *worker) int { return s.fitCountIn(w.Capacity) }

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

// withSpares returns the workers of a plan, and half as many others with room for a task, so
// that a worker that fails meanwhile does not cost another question.
func withSpares(s *step, plan, good []*worker) []*worker {
	named := distinct(plan)
	spare := len(named)/2 + 1
	for _, w := range good {
		if spare == 0 {
			break
		}
		if !slices.Contains(named, w) && s.Demand().Fits(w.available()) {
			named = append(named, w)
			spare--
		}
	}
	return named
}

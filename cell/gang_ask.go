package cell

import (
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// widenCapacityFactor is the capacity, as a multiple of the tasks that lack it, that the
	// probably eligible workers of a question should have free: other steps use some of it
	// before the answer arrives.
	widenCapacityFactor = 2
	// gangCapacityFactor is the capacity, as a multiple of its tasks, that the known eligible
	// workers of a gang should have when empty: a cell is three quarters full.
	gangCapacityFactor = 4
	// widenTimeout is the time after the last answer from which a gang asks about new workers
	// even if these have too little capacity: it can't wait indefinitely for those that it
	// knows.
	widenTimeout = 2 * time.Second
)

// askForGang asks for the tickets that a gang lacks, once it would have capacity with them.
// Runs that are preempted for it stop while the question is on its way, or soon after.
func (c *Cell) askForGang(now time.Duration, s *step, queue workload.Queue, eligible []*worker) {
	if queue.Advice == nil || s.tickets.awaitsAnswer(now) {
		return
	}
	var preempted []*run
	s.bookedPlan = planGang(s, eligible)
	if s.bookedPlan == nil {
		s.bookedPlan, preempted = c.planWithPreemption(now, s, queue, eligible)
	}
	if s.bookedPlan != nil {
		c.preempt(now, s, preempted)
		c.ask(now, s, queue, withSpares(s, s.bookedPlan, eligible))
		return
	}
	c.widenGangSearch(now, s, queue, eligible)
}

// widenGangSearch asks about workers not named in any question before. If the eligible
// workers of the gang are too few for it even when empty, it asks about as many as are
// missing. Otherwise it asks once the probably eligible ones among the new workers have
// capacity for the tasks that do not fit the known ones. The question also names the eligible
// workers with capacity, whose tickets may have expired, so that the gang can start as soon
// as the answer arrives.
func (c *Cell) widenGangSearch(now time.Duration, s *step, queue workload.Queue, eligible []*worker) {
	planned := distinct(packTasks(s, eligible))
	if missingSlots := gangCapacityFactor*len(s.tasks) - s.totalSlots(eligible); missingSlots > 0 {
		c.askAboutNew(now, s, queue, planned, c.selectEnough(queue, c.unaskedWorkers(now, s, queue), c.eligibleRatios.of(queue.Name), missingSlots, asFloat(s.slotsOn)))
		return
	}
	unplaced := len(s.tasks)
	for _, w := range planned {
		unplaced -= s.fitCount(w)
	}
	unasked := c.unaskedFitting(now, s, queue)
	freeSlots := 0
	for _, w := range unasked {
		freeSlots += s.fitCount(w)
	}
	ratio := c.eligibleRatios.of(queue.Name)
	if ratio*float64(freeSlots) < float64(unplaced) && now-s.tickets.answeredAt < widenTimeout {
		return
	}
	c.askAboutNew(now, s, queue, planned, c.selectEnough(queue, unasked, ratio, widenCapacityFactor*unplaced, asFloat(s.fitCount)))
}

func asFloat(count func(w *worker) int) func(w *worker) float64 {
	return func(w *worker) float64 { return float64(count(w)) }
}

// askAboutNew asks about the workers in unasked, which no question has named, together with
// those in known. It does nothing if unasked is empty.
func (c *Cell) askAboutNew(now time.Duration, s *step, queue workload.Queue, known, unasked []*worker) {
	if len(unasked) > 0 {
		c.ask(now, s, queue, append(known, unasked...))
	}
}

// totalSlots returns how many tasks of a step would fit the given workers if these had no
// other work.
func (s *step) totalSlots(workers []*worker) int {
	n := 0
	for _, w := range workers {
		n += s.slotsOn(w)
	}
	return n
}

// slotsOn returns how many tasks of a step would fit a worker that had no other work.
func (s *step) slotsOn(w *worker) int { return s.fitCountIn(w.Capacity) }

// distinct returns the workers of a plan without duplicates.
func distinct(plan []*worker) []*worker {
	var workers []*worker
	for _, w := range plan {
		if !slices.Contains(workers, w) {
			workers = append(workers, w)
		}
	}
	return workers
}

// withSpares returns the workers of a plan and half as many others (plus one) with capacity
// for a task, so that a worker that fails meanwhile does not require another question.
func withSpares(s *step, plan, eligible []*worker) []*worker {
	workers := distinct(plan)
	spares := len(workers)/2 + 1
	for _, w := range eligible {
		if spares == 0 {
			break
		}
		if !slices.Contains(workers, w) && s.Demand().Fits(w.available()) {
			workers = append(workers, w)
			spares--
		}
	}
	return workers
}

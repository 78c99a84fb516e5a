package cell

import (
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// At least minHoldingGangs waiting gangs may hold free capacity at once, and one for
	// every workersPerHoldingGang workers: gangs have ten tasks, of which a worker fits
	// three.
	minHoldingGangs       = 2
	workersPerHoldingGang = 24
)

// maxHoldingGangs returns how many waiting gangs may hold free capacity at once.
func (c *Cell) maxHoldingGangs() int {
	return max(minHoldingGangs, len(c.sortedWorkers)/workersPerHoldingGang)
}

// bookingGrace is how long capacity stays booked after the tickets have arrived and the
// preempted runs have stopped.
const bookingGrace = 200 * time.Millisecond

// placeGang starts all tasks of a gang if there is capacity for all of them. It reports false
// if the gang has to wait for capacity or tickets.
func (c *Cell) placeGang(now time.Duration, s *step, queue workload.Queue) bool {
	number := 0
	for _, t := range s.tasks {
		if !t.needsRun(now) {
			c.stopRemainingMembers(now, s)
			return true
		}
		number = max(number, t.lastRun)
	}
	releaseBooked(s)
	s.isHolding = false
	list := c.candidates(now, s, queue)
	plan := planGang(s, c.withTickets(now, s, queue, list))
	if plan == nil {
		if s.bookedPlan == nil || now >= s.preemptedUntil {
			c.askForGang(now, s, queue, list)
		}
		holdBooked(s)
		return false
	}
	s.bookedPlan = nil
	c.alignCheckpoints(s)
	for i, t := range s.tasks {
		c.placeRun(now, s, t, plan[i], number+1)
	}
	return true
}

// stopRemainingMembers stops the remaining runs of a gang once another member has ended, also
// under an earlier owner. No member starts again before all runs have ended.
func (c *Cell) stopRemainingMembers(now time.Duration, s *step) {
	if !slices.ContainsFunc(s.tasks, func(t *taskRecord) bool { return len(t.runs) == 0 }) {
		return
	}
	for _, t := range s.tasks {
		c.withdrawAll(now, t.runs, "other members of the gang have ended")
	}
}

// planGang returns a worker for each task, or nil if not all fit. A gang with SameRack set is
// planned within one rack if any rack has the capacity.
func planGang(s *step, list []*worker) []*worker {
	if s.SameRack {
		for _, rack := range racksOf(list) {
			inRack := slices.DeleteFunc(slices.Clone(list), func(w *worker) bool { return w.Rack() != rack })
			if plan := packTasks(s, inRack); len(plan) == len(s.tasks) {
				return plan
			}
		}
	}
	if plan := packTasks(s, list); len(plan) == len(s.tasks) {
		return plan
	}
	return nil
}

// packTasks returns workers for as many tasks of a gang as fit.
func packTasks(s *step, list []*worker) []*worker {
	used := map[*worker]bool{}
	var plan []*worker
	for len(plan) < len(s.tasks) {
		w, n := roomiestWorker(s, list, used, len(s.tasks)-len(plan))
		if w == nil {
			return plan
		}
		used[w] = true
		plan = append(plan, slices.Repeat([]*worker{w}, n)...)
	}
	return plan
}

// roomiestWorker returns the worker that fits the most tasks of a gang, up to limit, and their
// number; of several it returns the one that is best for a task. The fewer workers a gang uses,
// the less likely it loses one, with which all members end. It skips the excluded workers.
func roomiestWorker(s *step, list []*worker, excluded map[*worker]bool, limit int) (chosen *worker, tasks int) {
	size := s.Demand()
	var chosenRank workerRank
	for _, w := range list {
		n := min(s.fitCount(w), limit)
		if n == 0 || n < tasks || excluded[w] {
			continue
		}
		if r := rankWorker(s, w, w.available().Minus(size)); n > tasks || r.before(chosenRank) {
			chosen, tasks, chosenRank = w, n, r
		}
	}
	return chosen, tasks
}

// fitCount returns how many tasks of a step fit the available capacity of a worker now.
func (s *step) fitCount(w *worker) int {
	n := s.fitCountIn(w.available())
	if s.MaxPerWorker > 0 {
		n = min(n, s.MaxPerWorker-s.runCountOn(w))
	}
	return max(0, n)
}

// fitCountIn returns how many tasks of a step fit the given capacity of one worker.
func (s *step) fitCountIn(capacity task.Size) int {
	n := len(s.tasks)
	if size := s.Demand(); size != (task.Size{}) {
		n = int(min(int64(n), size.CountIn(capacity)))
	}
	if s.MaxPerWorker > 0 {
		n = min(n, s.MaxPerWorker)
	}
	return n
}

// holdCapacity holds the capacity that a waiting gang could use from the steps ranked after
// it, so that small tasks can't starve the gang. For tasks that do not fit yet it also holds
// capacity on the workers closest to fitting them, since small tasks would otherwise use
// every part of it that becomes free.
func (c *Cell) holdCapacity(now time.Duration, s *step, queue workload.Queue) {
	if s.bookedPlan != nil || !c.fitsBesideDaemons(now, s, queue) {
		// The gang has all the capacity that it needs, or could never start and would hold
		// capacity for nothing.
		return
	}
	s.isHolding = true
	list := c.candidates(now, s, queue)
	heldTasks := map[*worker]int{}
	hold := func(w *worker) {
		w.held = w.held.Plus(s.Demand())
		heldTasks[w]++
	}
	plan := packTasks(s, list)
	for _, w := range plan {
		hold(w)
	}
	for range len(s.tasks) - len(plan) {
		w := closestToFitting(s, list, heldTasks)
		if w == nil {
			return
		}
		hold(w)
	}
}

// fitsBesideDaemons reports whether all of a gang would fit the workers known to be eligible
// for it, were they empty but for daemons. Workers leave, and a gang may not have asked about
// enough of them yet.
func (c *Cell) fitsBesideDaemons(now time.Duration, s *step, queue workload.Queue) bool {
	slots := 0
	for _, w := range c.eligibleWorkers(s, queue) {
		if w.canBeNamed(now) && matchesStep(s, queue, w) {
			slots += s.fitCountIn(w.reclaimable())
		}
	}
	return slots >= len(s.tasks)
}

// closestToFitting returns the worker that lacks the least capacity for a task of a step.
// heldTasks counts the tasks for which each worker is already held.
func closestToFitting(s *step, list []*worker, heldTasks map[*worker]int) *worker {
	var chosen *worker
	var leastMissing float64
	for _, w := range list {
		if !s.Demand().Fits(w.reclaimable().Minus(w.held)) {
			continue
		}
		if s.MaxPerWorker > 0 && s.runCountOn(w)+heldTasks[w] >= s.MaxPerWorker {
			continue
		}
		missing := s.Demand().Minus(w.available()).DominantShare(w.Capacity)
		if chosen == nil || missing < leastMissing {
			chosen, leastMissing = w, missing
		}
	}
	return chosen
}

// holdBookings holds the booked capacity of gangs that await their tickets: the question may
// take a second, and its answer would be useless if other steps used the capacity meanwhile.
func (c *Cell) holdBookings(now time.Duration, steps []rankedStep) {
	for _, s := range steps {
		if !s.Gang || s.bookedPlan == nil {
			continue
		}
		if !s.tickets.awaitsAnswer(now) && now > max(s.tickets.answeredAt, s.preemptedUntil)+bookingGrace {
			s.bookedPlan = nil
			continue
		}
		holdBooked(s.step)
	}
}

// holdBooked holds the capacity booked for a gang from other steps; releaseBooked makes it
// available to the gang itself.
func holdBooked(s *step) {
	for _, w := range s.bookedPlan {
		w.held = w.held.Plus(s.Demand())
	}
}

func releaseBooked(s *step) {
	for _, w := range s.bookedPlan {
		w.held = w.held.Minus(s.Demand())
	}
}

// alignCheckpoints gives all tasks of a gang the latest checkpoint: that of any member of a
// run is valid for all.
func (c *Cell) alignCheckpoints(s *step) {
	latest := ""
	for _, t := range s.tasks {
		latest = max(latest, t.checkpoint)
	}
	for _, t := range s.tasks {
		t.checkpoint = latest
	}
}

// stopGangRun stops the other members of a gang's run when one of them has ended and the gang
// isn't done.
func (c *Cell) stopGangRun(now time.Duration, s *step, lost *run) {
	if s.remaining == 0 {
		return
	}
	for _, t := range s.tasks {
		for _, r := range slices.Clone(t.runs) {
			if r.number == lost.number {
				c.withdraw(now, r, "another member of the gang has ended")
			}
		}
	}
}

func racksOf(list []*worker) []string {
	var racks []string
	for _, w := range list {
		if !slices.Contains(racks, w.Rack()) {
			racks = append(racks, w.Rack())
		}
	}
	return racks
}

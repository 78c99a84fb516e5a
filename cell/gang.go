package cell

import (
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// minHoldingGangs is how many gangs at once may keep free room from others that come
	// after them at least, and workersPerGangHeld the part of the workers for which one
	// more may: gangs have ten tasks, of which a worker takes three.
	minHoldingGangs       = 2
	workersPerHoldingGang = 24
)

// maxHoldingGangs is how many gangs at once may keep free room from others.
func (c *Cell) maxHoldingGangs() int {
	return max(minHoldingGangs, len(c.sortedWorkers)/workersPerHoldingGang)
}

// bookingGrace is how long room stays booked after the tickets have come.
const bookingGrace = 200 * time.Millisecond

// placeGang starts all tasks of a gang if there is room for all of them.
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
	list := c.candidates(now, s, queue)
	plan := planGang(s, c.withTickets(now, s, queue, list))
	if plan == nil {
		c.askForGang(now, s, queue, list)
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

// stopRemainingMembers stops what is left of a gang whose other members have ended, also under
// an earlier owner. Nothing of it starts before all of it has ended.
func (c *Cell) stopRemainingMembers(now time.Duration, s *step) {
	if !slices.ContainsFunc(s.tasks, func(t *taskRecord) bool { return len(t.runs) == 0 }) {
		return
	}
	for _, t := range s.tasks {
		c.withdrawAll(now, t.runs, "other members of the gang have ended")
	}
}

// planGang returns a worker for each task, or nil if not all fit. A gang that
// should share a rack is planned in one rack, if one can take it.
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

// packTasks returns workers for as many tasks of a gang as fit. The worker that is best for one
// task is best for the next as well, as long as it has room.
func packTasks(s *step, list []*worker) []*worker {
	full := map[*worker]bool{}
	var plan []*worker
	for len(plan) < len(s.tasks) {
		w := bestWorker(s, list, full)
		if w == nil {
			return plan
		}
		full[w] = true
		plan = append(plan, slices.Repeat([]*worker{w}, min(s.fitCount(w), len(s.tasks)-len(plan)))...)
	}
	return plan
}

// fitCount returns how many tasks of a step a worker may get now.
func (s *step) fitCount(w *worker) int {
	n := s.fitCountIn(w.available())
	if s.MaxPerWorker > 0 {
		n = min(n, s.MaxPerWorker-s.runCountOn(w))
	}
	return max(0, n)
}

// fitCountIn returns how many tasks of a step fit some room on one worker.
func (s *step) fitCountIn(room task.Size) int {
	n := len(s.tasks)
	if size := s.Demand(); size != (task.Size{}) {
		n = int(min(int64(n), size.CountIn(room)))
	}
	if s.MaxPerWorker > 0 {
		n = min(n, s.MaxPerWorker)
	}
	return n
}

// holdCapacity keeps what a gang could use already from the steps after it, so that
// small tasks can't starve it. For the tasks that do not fit yet it keeps room free
// on the workers that lack least, since small tasks would take each part of it
// that becomes free.
func (c *Cell) holdCapacity(now time.Duration, s *step, queue workload.Queue) {
	if s.bookedPlan != nil || !c.fitsEmptyWorkers(s, queue) {
		// It has all that it needs, or would keep room for nothing.
		return
	}
	list := c.candidates(now, s, queue)
	members := map[*worker]int{}
	hold := func(w *worker) {
		w.held = w.held.Plus(s.Demand())
		members[w]++
	}
	plan := packTasks(s, list)
	for _, w := range plan {
		hold(w)
	}
	for range len(s.tasks) - len(plan) {
		w := closestToFitting(s, list, members)
		if w == nil {
			return
		}
		hold(w)
	}
}

// fitsEmptyWorkers reports whether the workers that may run a gang, as far as is known, have room for
// all of it if they are empty. Workers leave, and a gang may know too few yet.
func (c *Cell) fitsEmptyWorkers(s *step, queue workload.Queue) bool {
	slots := 0
	for _, w := range c.permittedWorkers(s, queue) {
		if w.canBeNamed() && matchesStep(s, queue, w) {
			slots += s.slotsOn(w)
		}
	}
	return slots >= len(s.tasks)
}

// closestToFitting returns the worker that lacks least for a task of a step. members counts the
// tasks that it is held for already.
func closestToFitting(s *step, list []*worker, members map[*worker]int) *worker {
	var chosen *worker
	var least float64
	for _, w := range list {
		if !s.Demand().Fits(w.Capacity.Minus(w.held)) {
			continue
		}
		if s.MaxPerWorker > 0 && s.runCountOn(w)+members[w] >= s.MaxPerWorker {
			continue
		}
		lacks := s.Demand().Minus(w.available()).DominantShare(w.Capacity)
		if chosen == nil || lacks < least {
			chosen, least = w, lacks
		}
	}
	return chosen
}

// holdBookings keeps the room of gangs whose tickets are on their way, so that the question,
// which may take a second, isn't in vain.
func (c *Cell) holdBookings(now time.Duration, steps []rankedStep) {
	for _, s := range steps {
		if !s.Gang || s.bookedPlan == nil {
			continue
		}
		if !s.tickets.awaitsAnswer(now) && now > s.tickets.answeredAt+bookingGrace {
			s.bookedPlan = nil
			continue
		}
		holdBooked(s.step)
	}
}

// holdBooked keeps the room that is booked for a gang from other steps, release gives it to
// the gang.
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

// alignCheckpoints gives all tasks of a gang the same checkpoint: any of one run
// serves for all.
func (c *Cell) alignCheckpoints(s *step) {
	latest := ""
	for _, t := range s.tasks {
		latest = max(latest, t.checkpoint)
	}
	for _, t := range s.tasks {
		t.checkpoint = latest
	}
}

// stopGangRun stops the other members of a gang's run when one has ended and the gang
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

package cell

import (
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// minGangsHeld is how many gangs at once may keep free room from others that come
	// after them at least, and workersPerGangHeld the part of the workers for which one
	// more may: gangs have ten tasks, of which a worker takes three.
	minGangsHeld       = 2
	workersPerGangHeld = 24
)

// maxGangsHeld is how many gangs at once may keep free room from others.
func (c *Cell) maxGangsHeld() int { return max(minGangsHeld, len(c.order)/workersPerGangHeld) }

// bookingRest is how long room stays booked after the tickets have come.
const bookingRest = 200 * time.Millisecond

// placeGang starts all tasks of a gang if there is room for all of them.
func (c *Cell) placeGang(now time.Duration, s *step, queue workload.Queue) bool {
	number := 0
	for _, t := range s.tasks {
		if !t.waits(now) {
			c.clearGang(now, s)
			return true
		}
		number = max(number, t.run)
	}
	release(s)
	list := c.candidates(now, s, queue)
	plan := planGang(s, c.ticketed(now, s, queue, list))
	if plan == nil {
		c.askForGang(now, s, queue, list)
		keep(s)
		return false
	}
	s.booked = nil
	c.alignCheckpoint(s)
	for i, t := range s.tasks {
		c.place(now, s, t, plan[i], number+1)
	}
	return true
}

// clearGang stops what is left of a gang whose other members have ended, also under
// an earlier owner. Nothing of it starts before all of it has ended.
func (c *Cell) clearGang(now time.Duration, s *step) {
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
			if plan := fill(s, inRack); len(plan) == len(s.tasks) {
				return plan
			}
		}
	}
	if plan := fill(s, list); len(plan) == len(s.tasks) {
		return plan
	}
	return nil
}

// fill returns workers for as many tasks of a gang as fit. The worker that is best for one
// task is best for the next as well, as long as it has room.
func fill(s *step, list []*worker) []*worker {
	full := map[*worker]bool{}
	var plan []*worker
	for len(plan) < len(s.tasks) {
		w := best(s, list, full)
		if w == nil {
			return plan
		}
		full[w] = true
		plan = append(plan, slices.Repeat([]*worker{w}, min(s.fitting(w), len(s.tasks)-len(plan)))...)
	}
	return plan
}

// fitting returns how many tasks of a step a worker may get now.
func (s *step) fitting(w *worker) int {
	n := s.fittingIn(w.spare())
	if s.MaxPerWorker > 0 {
		n = min(n, s.MaxPerWorker-s.tasksOn(w))
	}
	return max(0, n)
}

// fittingIn returns how many tasks of a step fit some room on one worker.
func (s *step) fittingIn(room task.Size) int {
	n := len(s.tasks)
	if size := s.Room(); size != (task.Size{}) {
		n = int(min(int64(n), size.CountIn(room)))
	}
	if s.MaxPerWorker > 0 {
		n = min(n, s.MaxPerWorker)
	}
	return n
}

// holdRoom keeps what a gang could use already from the steps after it, so that
// small tasks can't starve it. For the tasks that do not fit yet it keeps room free
// on the workers that lack least, since small tasks would take each part of it
// that becomes free.
func (c *Cell) holdRoom(now time.Duration, s *step, queue workload.Queue) {
	if s.booked != nil || !c.canFit(s, queue) {
		// It has all that it needs, or would keep room for nothing.
		return
	}
	list := c.candidates(now, s, queue)
	members := map[*worker]int{}
	hold := func(w *worker) {
		w.held = w.held.Plus(s.Room())
		members[w]++
	}
	plan := fill(s, list)
	for _, w := range plan {
		hold(w)
	}
	for range len(s.tasks) - len(plan) {
		w := nearest(s, list, members)
		if w == nil {
			return
		}
		hold(w)
	}
}

// canFit reports whether the workers that may run a gang, as far as is known, have room for
// all of it if they are empty. Workers leave, and a gang may know too few yet.
func (c *Cell) canFit(s *step, queue workload.Queue) bool {
	slots := 0
	for _, w := range c.allowed(s, queue) {
		if w.announced() && serves(s, queue, w) {
			slots += s.slotsOn(w)
		}
	}
	return slots >= len(s.tasks)
}

// nearest returns the worker that lacks least for a task of a step. members counts the
// tasks that it is held for already.
func nearest(s *step, list []*worker, members map[*worker]int) *worker {
	var chosen *worker
	var least float64
	for _, w := range list {
		if !s.Room().Fits(w.Capacity.Minus(w.held)) {
			continue
		}
		if s.MaxPerWorker > 0 && s.tasksOn(w)+members[w] >= s.MaxPerWorker {
			continue
		}
		lacks := s.Room().Minus(w.spare()).DominantShare(w.Capacity)
		if chosen == nil || lacks < least {
			chosen, least = w, lacks
		}
	}
	return chosen
}

// book keeps the room of gangs whose tickets are on their way, so that the question,
// which may take a second, isn't in vain.
func (c *Cell) book(now time.Duration, steps []ranked) {
	for _, s := range steps {
		if !s.Gang || s.booked == nil {
			continue
		}
		if !s.tickets.waitsForAnswer(now) && now > s.tickets.answered+bookingRest {
			s.booked = nil
			continue
		}
		keep(s.step)
	}
}

// keep keeps the room that is booked for a gang from other steps, release gives it to
// the gang.
func keep(s *step) {
	for _, w := range s.booked {
		w.held = w.held.Plus(s.Room())
	}
}

func release(s *step) {
	for _, w := range s.booked {
		w.held = w.held.Minus(s.Room())
	}
}

// alignCheckpoint gives all tasks of a gang the same checkpoint: any of one run
// serves for all.
func (c *Cell) alignCheckpoint(s *step) {
	latest := ""
	for _, t := range s.tasks {
		latest = max(latest, t.checkpoint)
	}
	for _, t := range s.tasks {
		t.checkpoint = latest
	}
}

// gangLost stops the other members of a gang's run when one has ended and the gang
// isn't done.
func (c *Cell) gangLost(now time.Duration, s *step, lost *run) {
	if s.left == 0 {
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

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
func (c *Cell) placeGang(now time.Duration, s *step, queue workload.Queue, held map[string]task.Size) bool {
	number := 0
	for _, t := range s.tasks {
		if !t.waits(now) {
			c.clearGang(now, s)
			return true
		}
		number = max(number, t.run)
	}
	release(s, held)
	list := c.candidates(now, s, queue)
	plan := planGang(s, c.ticketed(now, s, queue, list), held)
	if plan == nil {
		c.askForGang(now, s, queue, list, held)
		keep(s, held)
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
func planGang(s *step, list []*worker, held map[string]task.Size) []*worker {
	if s.SameRack {
		for _, rack := range racksOf(list) {
			inRack := slices.DeleteFunc(slices.Clone(list), func(w *worker) bool { return w.Rack() != rack })
			if plan := fill(s, inRack, held); len(plan) == len(s.tasks) {
				return plan
			}
		}
	}
	if plan := fill(s, list, held); len(plan) == len(s.tasks) {
		return plan
	}
	return nil
}

// askForGang asks for the tickets that a gang lacks, once it would have room with
// them.
func (c *Cell) askForGang(now time.Duration, s *step, queue workload.Queue, good []*worker, held map[string]task.Size) {
	if queue.Advice == nil || s.tickets.waitsForAnswer(now) {
		return
	}
	if plan := planGang(s, good, held); plan != nil {
		c.ask(now, s, queue, spareFor(s, plan, good, held))
		s.booked = plan
		return
	}
	unasked := slices.DeleteFunc(c.unasked(s, queue), func(w *worker) bool { return !c.usable(now, w) })
	if len(fill(s, append(slices.Clone(good), unasked...), held)) == len(s.tasks) {
		c.ask(now, s, queue, append(c.enough(now, s, queue, unasked, c.goodShares.of(queue.Name)), good...))
	}
}

// spareFor returns the workers of a plan, and half as many others with room for a task, so
// that a worker that fails meanwhile does not cost another question.
func spareFor(s *step, plan, good []*worker, held map[string]task.Size) []*worker {
	var named []*worker
	for _, w := range plan {
		if !slices.Contains(named, w) {
			named = append(named, w)
		}
	}
	spare := len(named)/2 + 1
	for _, w := range good {
		if spare == 0 {
			break
		}
		if !slices.Contains(named, w) && s.Room().Fits(w.free().Minus(held[w.ID])) {
			named = append(named, w)
			spare--
		}
	}
	return named
}

// fill returns workers for as many tasks of a gang as fit.
func fill(s *step, list []*worker, held map[string]task.Size) []*worker {
	extra := map[string]taken{}
	var plan []*worker
	for range s.tasks {
		w := best(s, list, held, extra)
		if w == nil {
			return plan
		}
		e := extra[w.ID]
		extra[w.ID] = taken{size: e.size.Plus(s.Room()), tasks: e.tasks + 1}
		plan = append(plan, w)
	}
	return plan
}

// holdRoom keeps what a gang could use already from the steps after it, so that
// small tasks can't starve it. For the tasks that do not fit yet it keeps room free
// on the workers that lack least, since small tasks would take each part of it
// that becomes free.
func (c *Cell) holdRoom(now time.Duration, s *step, queue workload.Queue, held map[string]task.Size) {
	if s.booked != nil {
		// It has all that it needs.
		return
	}
	list := c.candidates(now, s, queue)
	members := map[string]int{}
	hold := func(w *worker) {
		held[w.ID] = held[w.ID].Plus(s.Room())
		members[w.ID]++
	}
	plan := fill(s, list, held)
	for _, w := range plan {
		hold(w)
	}
	for range len(s.tasks) - len(plan) {
		w := nearest(s, list, held, members)
		if w == nil {
			return
		}
		hold(w)
	}
}

// nearest returns the worker that lacks least for a task of a step. members counts the
// tasks that it is held for already.
func nearest(s *step, list []*worker, held map[string]task.Size, members map[string]int) *worker {
	var chosen *worker
	var least float64
	for _, w := range list {
		if !s.Room().Fits(w.Capacity.Minus(held[w.ID])) {
			continue
		}
		if s.MaxPerWorker > 0 && s.tasksOn(w)+members[w.ID] >= s.MaxPerWorker {
			continue
		}
		lacks := s.Room().Minus(w.free().Minus(held[w.ID])).Dominant(w.Capacity)
		if chosen == nil || lacks < least {
			chosen, least = w, lacks
		}
	}
	return chosen
}

// book keeps the room of gangs whose tickets are on their way, so that the question,
// which may take a second, isn't in vain.
func (c *Cell) book(now time.Duration, steps []ranked, held map[string]task.Size) {
	for _, s := range steps {
		if !s.Gang || s.booked == nil {
			continue
		}
		if !s.tickets.waitsForAnswer(now) && now > s.tickets.answered+bookingRest {
			s.booked = nil
			continue
		}
		keep(s.step, held)
	}
}

// keep keeps the room that is booked for a gang from other steps, release gives it to
// the gang.
func keep(s *step, held map[string]task.Size) {
	for _, w := range s.booked {
		held[w.ID] = held[w.ID].Plus(s.Room())
	}
}

func release(s *step, held map[string]task.Size) {
	for _, w := range s.booked {
		held[w.ID] = held[w.ID].Minus(s.Room())
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

package cell

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// openRun adds a run that may be on a worker from now on. It counts against the limit of its
// organisation until closeRun.
func (c *Cell) openRun(s *step, t *taskRecord, w *worker, r *run) {
	t.runs = append(t.runs, r)
	w.add(r)
	r.organisation, r.charge = s.job.Organisation, s.Size
	c.usage.Add(r.organisation, r.charge)
}

// tasksToStart returns the least number of tasks of a step that can start: all of a gang.
func (s *step) tasksToStart() int {
	if s.Gang {
		return len(s.tasks)
	}
	return 1
}

// headroomCount returns how many tasks of a step its organisation's limit allows to start now,
// besides what it reserves for steps ranked before.
func (c *Cell) headroomCount(s *step) int { return c.headroomBeside(s, s.reservedBefore) }

// headroomBeside returns how many tasks of a step its organisation's limit allows to start besides
// what is taken for other steps. A step is restricted only by what these take of the resources
// that it uses.
func (c *Cell) headroomBeside(s *step, taken task.Size) int {
	if !c.usage.IsLimited(s.job.Organisation) {
		return math.MaxInt
	}
	headroom := c.usage.Headroom(s.job.Organisation)
	switch {
	case !s.Size.Fits(headroom):
		return 0
	case s.Size.IsZero():
		return math.MaxInt
	}
	return int(s.Size.CountIn(headroom.Minus(taken)))
}

// isHeldBack reports whether the limit of its organisation keeps a step waiting, besides what is
// taken for other steps. A gang of which some tasks run is not held back: it has to stop these
// before it starts again.
func (c *Cell) isHeldBack(now time.Duration, s *step, taken task.Size) bool {
	if c.headroomBeside(s, taken) >= s.tasksToStart() {
		return false
	}
	return !s.Gang || s.waitingTaskCount(now) == len(s.tasks)
}

// startableCount returns the number of waiting tasks that the limit of their organisation allows
// to start.
func (c *Cell) startableCount(now time.Duration, s *step) int {
	return min(s.waitingTaskCount(now), c.headroomCount(s))
}

// limitPass is the state of one organisation's limit in a scheduling pass.
type limitPass struct {
	// reserved is the headroom that is reserved for steps ranked before.
	reserved task.Size
	// asked is the headroom for which steps without an answer ask their first question.
	asked task.Size
}

// withoutHeldBack removes the steps that the limits of their organisations keep waiting, so that
// they cost a scheduling pass no candidates, questions or capacity. What such a step needs to
// start is reserved from the steps of its organisation ranked after it, which would otherwise use
// every part of the headroom that becomes free.
func (c *Cell) withoutHeldBack(now time.Duration, steps []rankedStep) []rankedStep {
	clear(c.heldBack)
	if !c.usage.HasLimits() {
		return steps
	}
	passes := map[string]*limitPass{}
	return slices.DeleteFunc(steps, func(r rankedStep) bool {
		s, name := r.step, r.job.Organisation
		s.reservedBefore = task.Size{}
		if !r.routed || !c.usage.IsLimited(name) {
			return false
		}
		p := passes[name]
		if p == nil {
			p = &limitPass{}
			passes[name] = p
		}
		return c.holdBack(now, r, p)
	})
}

// holdBack reports whether the limit of its organisation keeps a step waiting, and updates the
// state of the limit for the steps ranked after it.
func (c *Cell) holdBack(now time.Duration, r rankedStep, p *limitPass) bool {
	s, needed := r.step, r.Size.Times(int64(r.tasksToStart()))
	s.reservedBefore = p.reserved
	taken, asks := p.reserved, r.asks()
	if asks {
		taken = taken.Plus(p.asked)
	}
	if !c.isHeldBack(now, s, taken) {
		if asks {
			p.asked = p.asked.Plus(s.Size.Times(int64(c.startableCount(now, s))))
		}
		// Headroom that a step with capacity needs must not be gone when its tickets arrive. Of
		// those that only wait for tickets, the first is enough: it ranks before the others.
		if s.isHolding || s.bookedPlan != nil || p.reserved.IsZero() && c.awaitsTickets(now, r) {
			p.reserved = p.reserved.Plus(needed)
		}
		return false
	}
	if c.mayReserve(now, r) {
		p.reserved = p.reserved.Plus(needed)
	}
	s.bookedPlan, s.isHolding = nil, false
	c.heldBack[s.job.Organisation]++
	return true
}

// asks reports whether a step needs a first answer about the workers that may run it.
func (r rankedStep) asks() bool { return r.queue.Advice != nil && !r.tickets.hasAnswer() }

// awaitsTickets reports whether a step needs tickets, and has asked for them or has none.
func (c *Cell) awaitsTickets(now time.Duration, r rankedStep) bool {
	if r.queue.Advice == nil {
		return false
	}
	hasTicket := func(w *worker) bool { return c.hasTicket(now, r.step, w) }
	return r.tickets.awaitsAnswer(now) || !slices.ContainsFunc(c.eligibleWorkers(r.step, r.queue), hasTicket)
}

// mayReserve reports whether a step that is held back reserves headroom. One that can never start
// must not, nor need one do so that uses a resource that is reserved entirely.
func (c *Cell) mayReserve(now time.Duration, r rankedStep) bool {
	s := r.step
	if s.reservedBefore != (task.Size{}) && c.headroomCount(s) == 0 {
		return false
	}
	limit := c.usage.Limit(s.job.Organisation).Headroom(task.Size{})
	if !s.Size.Fits(limit) || s.Size.CountIn(limit) < int64(s.tasksToStart()) {
		return false
	}
	return !s.Gang || r.asks() || c.fitsBesideDaemons(now, s, r.queue)
}

// OrganisationLoad is what an organisation uses of the cell.
type OrganisationLoad struct {
	Name   string
	Weight float64
	// Used is the sum of the sizes of its runs that have not ended. Limit bounds it; a zero field
	// is no limit.
	Used, Limit task.Size
	// HeldBack is the number of steps that the limit kept waiting in the last scheduling pass.
	HeldBack int
}

// OrganisationLoads returns the load of the organisations in the catalogue and of any others with
// runs, sorted by name.
func (c *Cell) OrganisationLoads() []OrganisationLoad {
	weights := map[string]float64{}
	for _, name := range c.usage.Active() {
		weights[name] = workload.DefaultWeight
	}
	for _, o := range c.catalogue.Organisations {
		weights[o.Name] = o.Weight
	}
	loads := make([]OrganisationLoad, 0, len(weights))
	for _, name := range slices.Sorted(maps.Keys(weights)) {
		loads = append(loads, OrganisationLoad{
			Name: name, Weight: weights[name], Used: c.usage.Used(name), Limit: c.usage.Limit(name), HeldBack: c.heldBack[name],
		})
	}
	return loads
}

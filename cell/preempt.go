package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// preemptInterval is the least interval between two attempts to make room for a gang,
	// each of which goes through the runs of all its eligible workers.
	preemptInterval = 400 * time.Millisecond
	// minPreemptSlack is how long before its latest start a step must be for its runs to be
	// preempted. They need that time to find capacity again.
	minPreemptSlack = 3 * time.Second
	// maxPreemptPercent is the progress above which a run is not preempted: it ends soon.
	maxPreemptPercent = 70
)

// roomOnWorker is the capacity that a worker can offer to a gang.
type roomOnWorker struct {
	*worker
	// available is what remains after the tasks planned so far.
	available task.Size
	// preemptible holds the runs that may be preempted, the largest first. The first
	// preempted ones are to make room for the tasks planned so far.
	preemptible []*run
	preempted   int
	// planned is the number of tasks of the gang planned on the worker.
	planned int
}

// planWithPreemption returns a worker for each task of a gang that is in time and within the
// share of its organisation, and the runs to preempt so that all of them fit. It returns nil if they do not fit even so, or if the
// last attempt was too recent. A gang that is to be in one rack waits for capacity there.
func (c *Cell) planWithPreemption(now time.Duration, s *step, queue workload.Queue, eligible []*worker) ([]*worker, []*run) {
	if s.SameRack || s.job.BeyondShare || now > s.latestStart(queue) || now < s.preemptedUntil || s.preemptTriedAt != 0 && now-s.preemptTriedAt < preemptInterval {
		return nil, nil
	}
	s.preemptTriedAt = now
	rooms := make([]*roomOnWorker, 0, len(eligible))
	for _, w := range eligible {
		rooms = append(rooms, &roomOnWorker{worker: w, available: w.available(), preemptible: c.preemptibleRuns(now, w)})
	}
	plan := make([]*worker, 0, len(s.tasks))
	for range s.tasks {
		r := cheapestRoom(s, rooms)
		if r == nil {
			return nil, nil
		}
		r.plan(s.Demand())
		plan = append(plan, r.worker)
	}
	var preempted []*run
	for _, r := range rooms {
		preempted = append(preempted, r.preemptible[:r.preempted]...)
	}
	return plan, preempted
}

// cheapestRoom returns the worker that needs the fewest preempted runs for another task of a
// gang, and of these the one on which the least capacity stays free, or nil.
func cheapestRoom(s *step, rooms []*roomOnWorker) *roomOnWorker {
	var chosen *roomOnWorker
	var fewest int
	var leastLeft float64
	for _, r := range rooms {
		if s.MaxPerWorker > 0 && s.runCountOn(r.worker)+r.planned >= s.MaxPerWorker {
			continue
		}
		needed, left, ok := r.preemptionsFor(s.Demand())
		if !ok || chosen != nil && cmp.Or(cmp.Compare(needed, fewest), cmp.Compare(left, leastLeft)) >= 0 {
			continue
		}
		chosen, fewest, leastLeft = r, needed, left
	}
	return chosen
}

// preemptionsFor returns how many further runs must be preempted for another task, and the
// share of the worker that then stays free. It reports false if the task does not fit.
func (r *roomOnWorker) preemptionsFor(demand task.Size) (needed int, left float64, ok bool) {
	available := r.available
	for !demand.Fits(available) {
		if r.preempted+needed == len(r.preemptible) {
			return 0, 0, false
		}
		available = available.Plus(r.preemptible[r.preempted+needed].size)
		needed++
	}
	return needed, available.Minus(demand).DominantShare(r.Capacity), true
}

// plan takes the capacity for another task, which must fit.
func (r *roomOnWorker) plan(demand task.Size) {
	needed, _, _ := r.preemptionsFor(demand)
	for range needed {
		r.available = r.available.Plus(r.preemptible[r.preempted].size)
		r.preempted++
	}
	r.available = r.available.Minus(demand)
	r.planned++
}

// preemptibleRuns returns the runs on a worker that may be preempted, the largest first, and of
// equal ones the one that would use its room longest.
func (c *Cell) preemptibleRuns(now time.Duration, w *worker) []*run {
	var runs []*run
	remaining := map[*run]time.Duration{}
	for _, r := range w.runs {
		if c.isPreemptible(now, r) {
			runs, remaining[r] = append(runs, r), c.remainingIfVaried(now, r)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(b.size.Processors, a.size.Processors), cmp.Compare(remaining[b], remaining[a]), cmp.Compare(a.id.Job, b.id.Job), cmp.Compare(a.id.Step, b.id.Step), cmp.Compare(a.id.Index, b.id.Index))
	})
	return runs
}

// isPreemptible reports whether a run may be preempted: it resumes from a checkpoint, its job
// stays in time or is beyond the share of its organisation, its task has not been started before, so that no task is preempted twice, and
// its room does not come free as soon without that.
func (c *Cell) isPreemptible(now time.Duration, r *run) bool {
	s, _ := c.findTask(r.id)
	if s == nil || !s.Checkpoints || s.Gang || s.Daemon || s.Filler || s.job.state.Final() {
		return false
	}
	if r.state != running || r.number != 1 || r.percent > maxPreemptPercent {
		return false
	}
	if !c.mayStart(s.job) {
		return false
	}
	c.updateEstimates(s.job)
	return (s.job.BeyondShare || now+minPreemptSlack < s.latestStart(s.job.queue())) && !c.endsSoon(now, s, r)
}

// preempt stops runs to make room for a gang. They resume elsewhere from their checkpoints.
func (c *Cell) preempt(now time.Duration, s *step, runs []*run) {
	if len(runs) > 0 {
		s.preemptedUntil = now + c.options.StopTime + stopMargin
	}
	for _, r := range runs {
		c.withdraw(now, r, "preempted for gang "+s.id.String())
	}
}

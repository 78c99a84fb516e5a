package decision

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/task"
)

// Bounds of preemption.
const (
	// maxWastePerMille bounds the work wasted by preemption, in thousandths of
	// all work that has ended.
	maxWastePerMille = 15
	// preemptInterval is the minimum time between two preemption attempts for
	// the same job.
	preemptInterval = time.Second
	// minWastedRunTime is the minimum run time that a preemption counts as
	// wasted.
	minWastedRunTime = time.Second
	// maxPreemptScan is the maximum number of workers examined for victims.
	maxPreemptScan = 256
)

// wasteBudget holds the work that has ended and the part of it wasted by
// preemption, in processor-seconds.
type wasteBudget struct{ completed, wasted float64 }

// processorSeconds returns the processor-seconds of an attempt that ran for
// runTime.
func (a *attempt) processorSeconds(runTime time.Duration) float64 {
	return float64(a.size.Processors) / float64(task.Processor) * runTime.Seconds()
}

func (b *wasteBudget) addEnded(a *attempt, runTime time.Duration) {
	b.completed += a.processorSeconds(runTime)
	if a.preempted {
		b.wasted += a.processorSeconds(max(runTime, minWastedRunTime))
	}
}

// allows reports whether the budget allows more work to be wasted.
func (b *wasteBudget) allows(more float64) bool {
	return (b.wasted+more)*1000 <= b.completed*maxWastePerMille
}

// victim is an attempt that may be preempted: a batch task that may run again
// and is not urgent.
type victim struct {
	job  *job
	task int
}

// addVictim registers an attempt that has started, if it may be preempted.
func (c *Core) addVictim(j *job, i int) {
	if j.work.Kind != task.Batch || !j.work.Idempotent || j.work.Urgent {
		return
	}
	worker := j.tasks[i].worker
	if c.victims[worker] == nil {
		c.victims[worker] = map[victim]bool{}
	}
	c.victims[worker][victim{job: j, task: i}] = true
}

func (c *Core) removeVictim(j *job, i int) {
	if at := c.victims[j.tasks[i].worker]; at != nil {
		delete(at, victim{job: j, task: i})
	}
}

// preempt checkpoints batch tasks to free capacity for an urgent job or a
// service that is blocked. It chooses the worker where that wastes the least
// work, within the budget.
func (c *Core) preempt(j *job) {
	if k := j.class(); k > services || k == requests || c.now.Sub(j.preemptedAt) < preemptInterval || j.isGang() || c.overShare(j.team) {
		return
	}
	var least []victim
	var waste float64
	examined := 0
	for _, v := range c.cell.views {
		for i, w := range v.digest.Workers {
			if w.State != rack.Up || v.closed[w.ID] || len(c.victims[w.ID]) == 0 || examined >= maxPreemptScan {
				continue
			}
			examined++
			chosen, cost, ok := c.cheapestVictims(w.ID, v.free[i], j.size)
			if ok && (least == nil || cost < waste) {
				least, waste = chosen, cost
			}
		}
	}
	j.preemptedAt = c.now
	if least == nil || !c.wasteBudget.allows(waste) {
		return
	}
	for _, t := range least {
		t.job.tasks[t.task].preempted = true
		c.removeVictim(t.job, t.task)
		c.sendCommand(t.job, t.task, Checkpoint)
	}
}

// preemptBlocked tries preemption for the first job of each subqueue that has
// no capacity.
func (c *Core) preemptBlocked() {
	for _, k := range []class{urgent, replacements, services} {
		for _, l := range c.queues[k].subqueues {
			if l.cause == noCapacity {
				c.preempt(l.first)
			}
		}
	}
}

// cheapestVictims returns the attempts of a worker to preempt so that size
// fits, in order of the work lost, and their total cost.
func (c *Core) cheapestVictims(worker string, free, size task.Size) ([]victim, float64, bool) {
	found := make([]victim, 0, len(c.victims[worker]))
	for t := range c.victims[worker] {
		found = append(found, t)
	}
	slices.SortFunc(found, func(a, b victim) int {
		return cmp.Or(cmp.Compare(c.preemptionCost(a), c.preemptionCost(b)), cmp.Compare(a.job.serial, b.job.serial), cmp.Compare(a.task, b.task))
	})
	waste := 0.0
	for n, t := range found {
		if size.Fits(free) {
			return found[:n], waste, n > 0
		}
		free = free.Plus(t.job.tasks[t.task].size)
		waste += c.preemptionCost(t)
	}
	return found, waste, size.Fits(free) && len(found) > 0
}

func (c *Core) preemptionCost(t victim) float64 {
	a := &t.job.tasks[t.task]
	return a.processorSeconds(max(c.now.Sub(a.startedAt), minWastedRunTime))
}

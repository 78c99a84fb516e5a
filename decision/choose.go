package decision

import (
	"container/heap"
	"slices"

	"github.com/vanillaquay/vanillaquay/task"
)

// maxRequestDraws is the number of racks drawn at random for an urgent request
// before all racks are scanned.
const maxRequestDraws = 4

// minSpreadRacks is the number of local racks from which on urgent requests are
// spread. With fewer, each rack holds a large part of them anyway, and
// spreading fragments capacity that services need.
const minSpreadRacks = 8

// foreignRegionPenalty is added to the rank of a worker outside of the driver's
// region. It exceeds every rank by fit or spread.
const foreignRegionPenalty = 1e6

// chooseWorkers chooses workers for as many waiting tasks of a job as fit and
// debits them. It returns ready if every task has one.
func (c *Core) chooseWorkers(j *job) ([]choice, blockCause) {
	if j.isGang() && !j.allotment.allows(j.size.Times(int64(j.waitingCount))) {
		return nil, noQuota
	}
	switch {
	case j.work.Kind == task.Service:
		return c.chooseSpread(j)
	case j.waitingCount > 1:
		return c.chooseMany(j)
	}
	return c.chooseOne(j)
}

// chooseOne chooses a worker for the only waiting task.
func (c *Core) chooseOne(j *job) ([]choice, blockCause) {
	i := slices.IndexFunc(j.tasks, func(a attempt) bool { return a.state == attemptChart.Initial() })
	if !j.allotment.allows(j.size) {
		return nil, noQuota
	}
	v, worker := c.bestWorker(j)
	if v == nil {
		return nil, noCapacity
	}
	return []choice{c.assign(j, i, v, worker)}, ready
}

// assign debits a worker for task i.
func (c *Core) assign(j *job, i int, v *view, worker int) choice {
	a := &j.tasks[i]
	a.number++
	a.size = j.size
	a.rack, a.worker = v.digest.Rack, v.digest.Workers[worker].ID
	a.epoch = v.digest.Epoch
	v.addDebit(j.attemptID(i), a.worker, a.size)
	c.charge(j, i)
	c.startProbe(a.worker)
	return choice{task: i, view: v, worker: a.worker}
}

// bestWorker returns the allowed worker that the job fits best, or nil.
func (c *Core) bestWorker(j *job) (*view, int) {
	if j.work.Kind == task.Request && j.work.Urgent && len(c.cell.local) >= minSpreadRacks {
		if v, worker := c.fullestInRandomRack(j); v != nil {
			return v, worker
		}
	}
	var best *view
	var worker int
	var least float64
	f := c.capacityFilterFor(j)
	for _, v := range c.cell.views {
		c.scanned++
		if v.digest.Rack == j.avoidRack || !j.size.Fits(v.maxFree) {
			continue
		}
		c.scanned += int64(len(v.digest.Workers))
		w, rank, ok := v.bestFit(j.size, f)
		if !ok {
			continue
		}
		if v.digest.Region != c.options.Region {
			rank += foreignRegionPenalty
		}
		if best == nil || rank < least {
			best, worker, least = v, w, rank
		}
	}
	return best, worker
}

// fullestInRandomRack returns the fullest worker with free capacity in a
// randomly drawn rack of the driver's region, or nil after maxRequestDraws
// draws. This limits both the requests lost with one rack and the
// fragmentation.
func (c *Core) fullestInRandomRack(j *job) (*view, int) {
	f := c.capacityFilterFor(j)
	for range min(len(c.cell.local), maxRequestDraws) {
		v := c.cell.local[c.random.IntN(len(c.cell.local))]
		c.scanned++
		if v.digest.Rack == j.avoidRack || !j.size.Fits(v.maxFree) {
			continue
		}
		c.scanned += int64(len(v.digest.Workers))
		if w, _, ok := v.bestFit(j.size, f); ok {
			return v, w
		}
	}
	return nil, 0
}

// slot is a worker with capacity for some tasks of a job.
type slot struct {
	view   *view
	worker int
	// rank is the rank by fit; foreign reports whether the worker is outside of
	// the driver's region.
	rank    float64
	foreign bool
	// order is the position in the cell, which breaks ties.
	order     int
	taskCount int
}

// chooseMany chooses workers in one pass over the cell, the fullest first.
func (c *Core) chooseMany(j *job) ([]choice, blockCause) {
	f := c.capacityFilterFor(j)
	slots := c.candidateSlots(j, f)
	choices := make([]choice, 0, j.waitingCount)
	for i := range j.tasks {
		if j.tasks[i].state != attemptChart.Initial() {
			continue
		}
		if !j.allotment.allows(j.size) {
			return choices, noQuota
		}
		for len(slots) > 0 && (slots[0].taskCount == 0 || !f.takeSpare(slots[0].view)) {
			heap.Pop(&slots)
		}
		if len(slots) == 0 {
			return choices, noCapacity
		}
		slots[0].taskCount--
		choices = append(choices, c.assign(j, i, slots[0].view, slots[0].worker))
	}
	return choices, ready
}

// candidateSlots returns the workers with capacity for a task of the job, in
// the order in which they are filled. It returns none if a gang can't have
// capacity for all of its waiting tasks.
func (c *Core) candidateSlots(j *job, f capacityFilter) slots {
	slots := make(slots, 0, c.cell.workerCount())
	total := 0
	for _, v := range c.cell.views {
		c.scanned++
		if v.digest.Rack == j.avoidRack || !j.size.Fits(v.maxFree) {
			continue
		}
		c.scanned += int64(len(v.digest.Workers))
		for i := range v.digest.Workers {
			w := &v.digest.Workers[i]
			n := fitCount(j.size, f.usable(v, i), j.waitingCount)
			if n == 0 || !f.allows(v, i) {
				continue
			}
			total += n
			slots = append(slots, slot{view: v, worker: i, order: len(slots), taskCount: n, foreign: v.digest.Region != c.options.Region,
				rank: leftoverRank(v.free[i], j.size, w.Capacity)})
		}
	}
	if j.isGang() && total < j.waitingCount {
		return nil
	}
	heap.Init(&slots)
	return slots
}

// slots is a heap of slots, the first to be filled at the top.
type slots []slot

func (s slots) Len() int { return len(s) }

func (s slots) Less(i, j int) bool {
	a, b := &s[i], &s[j]
	switch {
	case a.foreign != b.foreign:
		return b.foreign
	case a.rank != b.rank:
		return a.rank < b.rank
	}
	return a.order < b.order
}

func (s slots) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *slots) Push(x any) { *s = append(*s, x.(slot)) }

// Pop implements heap.Interface.
func (s *slots) Pop() any {
	last := len(*s) - 1
	t := (*s)[last]
	*s = (*s)[:last]
	return t
}

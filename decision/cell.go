package decision

import (
	"slices"
	"strings"
	"time"

	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/task"
)

// cell holds the racks that the core knows. The zero value has none.
type cell struct {
	// views is ordered by rack name.
	views []*view
	// local holds the views of racks in the driver's region, ordered by rack
	// name.
	local []*view
	// total is the summed capacity of all workers in views.
	total task.Size
	// grownAt is when capacity was last added.
	grownAt time.Time
	// unknownCount is the number of workers in views whose capacity is not
	// known, and unknownSince when it last rose.
	unknownCount int
	unknownSince time.Time
	// unreachable holds the racks of the cell that have no view, by name.
	unreachable map[string]unreachableRack
	// freeBefore is a buffer for the free capacity of a view's workers before
	// an update.
	freeBefore []task.Size
}

func compareView(v *view, name string) int { return strings.Compare(v.digest.Rack, name) }

func (c *cell) viewByName(name string) *view {
	i, found := slices.BinarySearchFunc(c.views, name, compareView)
	if !found {
		return nil
	}
	return c.views[i]
}

func (c *cell) removeRack(name string) {
	delete(c.unreachable, name)
	i, found := slices.BinarySearchFunc(c.views, name, compareView)
	if !found {
		return
	}
	removed := c.views[i]
	c.total = c.total.Minus(removed.capacity)
	c.unknownCount -= removed.unknownCount
	c.views = slices.Delete(c.views, i, i+1)
	c.local = slices.DeleteFunc(c.local, func(v *view) bool { return v == removed })
}

// update applies a digest and returns the view of its rack, or nil if the
// digest is not newer than the current one.
func (c *cell) update(d rack.Digest, region string, now time.Time) *view {
	i, found := slices.BinarySearchFunc(c.views, d.Rack, compareView)
	if !found {
		c.views = slices.Insert(c.views, i, newView())
	}
	v := c.views[i]
	before := v.capacity
	c.freeBefore = append(c.freeBefore[:0], v.free...)
	if found && !v.update(d) {
		return nil
	}
	v.noteGrowth(c.freeBefore, now)
	if !found {
		v.replace(withKnownWorkers(d, c.unreachable[d.Rack].workers))
		delete(c.unreachable, d.Rack)
		c.addLocal(v, region)
	}
	c.updateUnknownCount(v, now)
	if v.capacity != before {
		c.total = c.total.Minus(before).Plus(v.capacity)
	}
	if !v.capacity.Fits(before) {
		c.grownAt = now
	}
	return v
}

func (c *cell) addLocal(v *view, region string) {
	if v.digest.Region != region {
		return
	}
	i, _ := slices.BinarySearchFunc(c.local, v.digest.Rack, compareView)
	c.local = slices.Insert(c.local, i, v)
}

// setDigest applies a rack's digest, unless it is stale.
func (c *Core) setDigest(d rack.Digest) {
	total := c.cell.total
	earlier := c.cell.lastKnownWorkers(d.Rack)
	v := c.cell.update(d, c.options.Region, c.now)
	if v == nil {
		return
	}
	c.settleRestarted(earlier, v)
	if c.cell.total != total {
		c.refreshShares()
	}
	c.applyAvoided(v)
	c.unblockFitting(v)
}

// unblockFitting makes ready the subqueues whose tasks fit a worker of a rack.
func (c *Core) unblockFitting(v *view) {
	c.unblock(func(l *subqueue) bool { return l.awaitsCapacity() && l.tasks == 0 && v.fits(l.size) })
}

// fitsEmptyWorker reports whether size fits an otherwise empty worker of the
// cell.
func (c *cell) fitsEmptyWorker(size task.Size, now time.Time) bool {
	found := false
	c.eachWorker(now, func(w rack.WorkerSummary) bool {
		found = size.Fits(w.Capacity)
		return !found
	})
	return found
}

// maxConcurrent returns how many tasks of a size an empty cell can run at once,
// up to a limit.
func (c *cell) maxConcurrent(size task.Size, limit int, now time.Time) int {
	n := 0
	c.eachWorker(now, func(w rack.WorkerSummary) bool {
		n += fitCount(size, w.Capacity, limit-n)
		return n < limit
	})
	return n
}

// fitCount returns how many times size fits in free, up to a limit.
func fitCount(size, free task.Size, limit int) int {
	n := int64(max(limit, 0))
	n = amountFitCount(size.Processors, free.Processors, n)
	n = amountFitCount(size.Memory, free.Memory, n)
	n = amountFitCount(size.Accelerators, free.Accelerators, n)
	n = amountFitCount(size.Slots, free.Slots, n)
	return int(amountFitCount(size.Connections, free.Connections, n))
}

func amountFitCount(part, whole, limit int64) int64 {
	if part <= 0 {
		return limit
	}
	return min(limit, max(whole, 0)/part)
}

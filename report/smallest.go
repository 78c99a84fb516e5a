package report

import (
	"sort"
	"time"

	"github.com/vanillaquay/vanillaquay/load"
	"github.com/vanillaquay/vanillaquay/virtual"
)

// maxWaits are the maximum p99 waits at which a cell counts as large enough for
// a load.
var maxWaits = map[load.Class]time.Duration{
	load.Urgent:    3 * time.Second,
	load.Request:   3 * time.Second,
	load.Service:   10 * time.Second,
	load.AllAtOnce: time.Minute,
	load.Batch:     time.Minute,
}

// SmallestCell returns the smallest number of workers on which a scheduler
// starts all the work of a load within maxWaits, or 0 if even the whole cell is
// too small.
func SmallestCell(l load.Load, c Scheduler) int {
	most := len(l.Cell.Workers)
	n := 1 + sort.Search(most, func(i int) bool { return meetsMaxWaits(l.WithCell(l.Cell.WithWorkers(i+1)), c) })
	if n > most {
		return 0
	}
	return n
}

func meetsMaxWaits(l load.Load, c Scheduler) bool {
	r := virtual.Run(l, c.New(l), virtual.Options{Drain: time.Minute})
	for _, class := range load.Classes() {
		of := r.Classes[class]
		if of.Unstarted > 0 || of.Refused > 0 || of.Submitted > 0 && r.Wait(class, 99) > maxWaits[class] {
			return false
		}
	}
	return true
}

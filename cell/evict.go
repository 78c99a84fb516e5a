package cell

import "slices"

// Reserve excludes exactly the given workers from new work, because their machines go down
// next for upkeep.
func (c *Cell) Reserve(workers []string) {
	reserved := map[string]bool{}
	for _, id := range workers {
		reserved[id] = true
	}
	for _, w := range c.sortedWorkers {
		if w.reserved && !reserved[w.ID] {
			c.stale = true
		}
		w.reserved = reserved[w.ID]
	}
}

// MayEnd reports whether all runs of a worker may be ended now without any service exceeding
// its disruption budget. Tasks on workers for which isUp returns false count as unavailable:
// their machines may have been ordered down, which the cell learns only when their leases
// expire.
func (c *Cell) MayEnd(worker string, isUp func(worker string) bool) bool {
	w := c.workers[worker]
	if w == nil {
		return true
	}
	ended := map[*step]int{}
	for _, r := range w.runs {
		if s, _ := c.findTask(r.id); s != nil && s.Daemon && r.state == running {
			ended[s]++
		}
	}
	for s, n := range ended {
		if s.unavailableElsewhere(worker, isUp)+n > s.DisruptionBudget {
			return false
		}
	}
	return true
}

// servingPercent is the progress of a daemon that serves, in percent.
const servingPercent = 100

// unavailableElsewhere returns the number of tasks of a service that do not serve, without
// those that run on the given worker: these may serve since the last report.
func (s *step) unavailableElsewhere(worker string, isUp func(worker string) bool) int {
	n := 0
	for _, t := range s.tasks {
		if !slices.ContainsFunc(t.runs, func(r *run) bool {
			return r.state == running && (r.worker.ID == worker || r.percent >= servingPercent && isUp(r.worker.ID))
		}) {
			n++
		}
	}
	return n
}

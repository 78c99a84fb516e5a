package cell

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
// its disruption budget.
func (c *Cell) MayEnd(worker string) bool {
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
		if s.unavailableCount()+n > s.DisruptionBudget {
			return false
		}
	}
	return true
}

// servingPercent is the progress of a daemon that serves, in percent.
const servingPercent = 100

// unavailableCount returns the number of tasks of a service that do not serve.
func (s *step) unavailableCount() int {
	n := 0
	for _, t := range s.tasks {
		serving := false
		for _, r := range t.runs {
			serving = serving || r.state == running && r.percent >= servingPercent
		}
		if !serving {
			n++
		}
	}
	return n
}

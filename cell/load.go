package cell

import "time"

// Load summarises the capacity and the backlog of a cell for the log.
type Load struct {
	// Usable is the number of workers that accept new work.
	Usable int
	// Paused is the number of announced workers that get no new work after a failure or
	// because they are slow; Silent is the number of those whose last report is too old.
	Paused, Silent int
	// Capacity and Used are the processors of the usable workers, in thousandths. Held is the
	// part that gangs held in the last scheduling pass.
	Capacity, Used, Held int64
	// Steps is the number of steps with waiting tasks. Of these steps, Gangs counts the gangs,
	// and Unadvised those that need a first answer from the advice service.
	Steps, Gangs, Unadvised int
	// Unrouted is the number of steps whose runs may not start, as the policy of their queue is not
	// known or the operator's catalogue has not been read.
	Unrouted int
	// Orphaned is the number of jobs whose queue the operator has removed.
	Orphaned int
	// Wanted is the demand of the waiting tasks, in thousandths of a processor.
	Wanted int64
	Jobs   int
}

// Load returns the current load.
func (c *Cell) Load(now time.Duration) Load {
	l := Load{Jobs: len(c.jobs), Orphaned: c.OrphanedJobCount()}
	for _, w := range c.sortedWorkers {
		if c.usable(now, w) {
			l.Usable++
			l.Capacity += w.Capacity.Processors
			l.Used += w.used.Processors
			l.Held += w.held.Processors
			continue
		}
		switch {
		case w.unlisted || w.Draining:
		case now < w.pausedUntil:
			l.Paused++
		case !c.reportsInTime(now, w):
			l.Silent++
		}
	}
	for _, s := range c.waitingSteps(now) {
		l.Steps++
		if s.Gang {
			l.Gangs++
		}
		if !s.routed {
			l.Unrouted++
		}
		if s.queue.Advice != nil && !s.tickets.hasAnswer() {
			l.Unadvised++
		}
		for _, t := range s.tasks {
			if t.needsRun(now) {
				l.Wanted += s.Demand().Processors
			}
		}
	}
	return l
}

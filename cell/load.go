package cell

import "time"

// Load sums up what a cell has and what waits, for the log.
type Load struct {
	// Usable counts the workers that may get new work.
	Usable int
	// Capacity and Used are the processors of these workers, in thousandths.
	Capacity, Used int64
	// Steps counts the steps with tasks that wait, Gangs those that are gangs, and
	// Unadvised those that wait for a first answer about their workers.
	Steps, Gangs, Unadvised int
	// Unrouted counts the steps that wait for the operator's queue, which is not known.
	Unrouted int
	// Wanted is what the tasks that wait would take, in thousandths of a processor.
	Wanted int64
	Jobs   int
}

// Load returns the load as of now.
func (c *Cell) Load(now time.Duration) Load {
	l := Load{Jobs: len(c.jobs)}
	for _, w := range c.sortedWorkers {
		if c.usable(now, w) {
			l.Usable++
			l.Capacity += w.Capacity.Processors
			l.Used += w.used.Processors
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

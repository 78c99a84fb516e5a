package cell

import (
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

// minKindShare is the part of the workers from which slow or fast ones count as a kind of
// workers. Of equal workers fewer are off by a level.
const minKindShare = 0.25

// speedRange holds the speed levels of the slow and the fast workers, as far as these are a
// kind of workers. They are equal where the workers are.
type speedRange struct{ slow, fast int }

// updateFleetSpeeds computes the mean speed of the workers and the range of their levels.
func (c *Cell) updateFleetSpeeds() {
	sum, levels := 0.0, make([]int, 0, len(c.sortedWorkers))
	for _, w := range c.sortedWorkers {
		sum += w.speedOffset
		levels = append(levels, w.speedLevel())
	}
	n := len(levels)
	if n == 0 {
		return
	}
	slices.Sort(levels)
	i := int(minKindShare * float64(n))
	c.meanSpeedOffset, c.speedRange = sum/float64(n), speedRange{slow: levels[i], fast: levels[n-1-i]}
}

// spread is the distribution of the run times of a queue, as far as placement needs it.
type spread struct {
	// observed reports whether enough steps have ended, and varied whether run times are then
	// known to vary so much that decisions need their distribution.
	observed, varied bool
	// median and high are the run times within which tasks end evenly and likely, over their
	// centre.
	median, high float64
}

// spreadOf returns the spread of a queue by the models in use.
func (c *Cell) spreadOf(queue string) spread {
	if known, ok := c.spreads[queue]; ok {
		return known
	}
	m := c.durations[queue]
	centre, observed := m.Centre(time.Second).Seconds(), m.Observations() >= minObservedSteps
	s := spread{
		observed: observed, varied: observed && m.Deviation() > maxNarrowDeviation,
		median: m.Quantile(time.Second, evenly).Seconds() / centre, high: m.Quantile(time.Second, likely).Seconds() / centre,
	}
	c.spreads[queue] = s
	return s
}

// outlook is how likely a task ends early enough for its job to be in time.
type outlook int

// The values of outlook, best first.
const (
	good outlook = iota
	fair
	poor
)

// taskDeadline is when a task that starts now has to end, with the times that it may take on a
// worker of usual speed. The zero value is not used for placement.
type taskDeadline struct {
	// left is the time until the job of the task can't be in time any more.
	left time.Duration
	// meanSpeed is the mean speed of the workers.
	meanSpeed float64
	// median and high are the times within which the task ends evenly and likely.
	median, high time.Duration
}

// dependsOnSpeed reports whether a slow worker would make a job miss its objective, as its slack
// is less than what the difference in speed and long tasks may cost. For queues with narrow run
// times and little slack in seconds, hasTightDeadline decides as ever.
func (c *Cell) dependsOnSpeed(j *job, queue workload.Queue) bool {
	s := c.spreadOf(queue.Name)
	if !s.observed || c.speedRange.slow == c.speedRange.fast || !s.varied && j.hasTightDeadline(queue) {
		return false
	}
	slow := float64(c.speedRange.slow) / speedLevels
	return float64(j.objective(queue))*slow < float64(j.longestChain)*s.high
}

// deadlineOf returns the deadline of the tasks of a step for the choice of their workers, or the
// zero value if their speed makes no difference.
func (c *Cell) deadlineOf(now time.Duration, s *step, queue workload.Queue) taskDeadline {
	if !c.dependsOnSpeed(s.job, queue) {
		return taskDeadline{}
	}
	centre, times := c.durations[queue.Name].Centre(s.Estimate), c.spreadOf(queue.Name)
	return taskDeadline{
		left: s.latestStart(queue) + centre - now - c.recordDelay, meanSpeed: 1 + c.meanSpeedOffset,
		median: time.Duration(times.median * float64(centre)), high: time.Duration(times.high * float64(centre)),
	}
}

// applies reports whether the deadline is used for the choice of workers.
func (d taskDeadline) applies() bool { return d.high > 0 }

// on returns the outlook of a task that starts on a worker now.
func (d taskDeadline) on(w *worker) outlook {
	usable := time.Duration(float64(d.left) * (1 + w.speedOffset) / d.meanSpeed)
	switch {
	case usable >= d.high:
		return good
	case usable >= d.median:
		return fair
	default:
		return poor
	}
}

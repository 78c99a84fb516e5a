package cell

import (
	"fmt"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/pace"
)

const (
	// minStuckTimeout is how long a run may go without progress at least.
	minStuckTimeout = 3 * time.Second
	// maxSlowdown is how many times as long as expected a run may take for one percent. The
	// slowest workers that are still in use take over eight times as long, and a run that is
	// withdrawn loses its work.
	maxSlowdown = 10
	// maxDeviation is how many times as long as before a run may take for one percent.
	maxDeviation = 2
	// maxStuckDoublings bounds how often the time doubles for a task whose runs were withdrawn:
	// its estimate may be wrong by more than maxSlowdown.
	maxStuckDoublings = 10
	// maxPercentTime bounds the time that one percent is expected to take.
	maxPercentTime = 24 * time.Hour
)

// checkProgress withdraws a run that makes no progress while its worker keeps reporting.
func (c *Cell) checkProgress(now time.Duration, w *worker, r *run) {
	s, t := c.findTask(r.id)
	if s == nil || s.Daemon || w.lastReportAt <= r.progressedAt || t.done {
		return
	}
	if s.Filler && r.orderedShare <= 0 {
		// Fillers that are stopped make no progress.
		r.progressedAt = now
		return
	}
	progressed, waits := r.progressedAt, false
	if s.Gang {
		progressed, waits = s.gangProgress(r)
	}
	timeout := c.stuckTimeout(s, t, r)
	if waits || now-progressed < timeout {
		return
	}
	if !w.hasProgressSince(r, progressed+timeout/2) {
		w.penalise(now)
		if t.stuckRuns == 0 {
			w.failureScore++
		}
	}
	t.stuckRuns++
	c.withdraw(now, r, fmt.Sprintf("no progress at %.0f percent for %s", r.percent, timeout.Round(time.Millisecond)))
}

// stuckTimeout returns how long a run may go without progress, which is reported in whole
// percents: several times what one percent is expected to take.
func (c *Cell) stuckTimeout(s *step, t *taskRecord, r *run) time.Duration {
	timeout := max(minStuckTimeout, maxSlowdown*c.expectedPercentTime(s, r), maxDeviation*r.meanPercentTime())
	if s.Filler && r.orderedShare < pace.FullShare {
		timeout = timeout * pace.FullShare / time.Duration(r.orderedShare)
	}
	return timeout << min(t.stuckRuns, maxStuckDoublings)
}

// expectedPercentTime returns how long a run is expected to take for one percent: as the runs
// of its step on other workers, or as its queue's model predicts from the estimate.
func (c *Cell) expectedPercentTime(s *step, r *run) time.Duration {
	if rate, ok := s.rateElsewhere(r.worker.ID); ok {
		return min(maxPercentTime, time.Duration(float64(time.Second)/rate))
	}
	return min(maxPercentTime, c.durations[s.job.Queue].Centre(s.Estimate)/completePercent)
}

// meanPercentTime returns how long a run took for one percent so far; 0 if it has made no
// progress.
func (r *run) meanPercentTime() time.Duration {
	if r.percent == 0 || r.begunAt == 0 {
		return 0
	}
	return min(maxPercentTime, time.Duration(float64(r.progressedAt-r.begunAt)/r.percent))
}

// hasProgressSince reports whether another run on the worker has made progress since a time.
func (w *worker) hasProgressSince(r *run, since time.Duration) bool {
	return slices.ContainsFunc(w.sortedRuns(), func(other *run) bool {
		return other != r && other.state == running && other.progressedAt > max(since, other.begunAt)
	})
}

package cell

import (
	"math"
	"time"
)

const (
	// likely is the probability with which a prediction holds that a decision relies on, and
	// evenly that of a prediction that is as often too high as too low.
	likely = 0.9
	evenly = 0.5
	// minObservedSteps is the number of recent steps from which the predictions for a queue are
	// used. With 10, the share of the 90th percentiles that hold was 0.88 to 0.90 on the loads
	// of package forecast.
	minObservedSteps = 10
	// maxNarrowDeviation is the deviation of the logarithm of run times up to which a decision
	// by the usual run time is good enough.
	maxNarrowDeviation = maxReliableDeviation
	// minForecastPercent is the progress from which the remaining time of a run follows from its
	// own progress. It is reported in whole percents, which then changes the prediction by a
	// tenth at most.
	minForecastPercent = 10
	// unknownRemaining is the remaining time of a run about which nothing is known, and of one
	// that does not end by itself.
	unknownRemaining = time.Duration(math.MaxInt64)
)

// remaining returns the further time within which a run ends with the given probability if it
// is not stopped. The members of a gang end together.
func (c *Cell) remaining(now time.Duration, r *run, p float64) time.Duration {
	s, _ := c.findTask(r.id)
	switch {
	case r.state == withdrawing:
		return max(0, r.stopSentAt+c.options.StopTime+stopMargin-now)
	case s == nil || s.Daemon || s.Filler:
		return unknownRemaining
	case !s.Gang:
		return c.remainingAlone(now, s, r, p)
	}
	longest := time.Duration(0)
	for _, t := range s.tasks {
		for _, member := range t.runs {
			longest = max(longest, c.remainingAlone(now, s, member, p))
		}
	}
	return longest
}

// remainingAlone returns the further time within which a run finishes its own part of the work
// with the given probability: by its progress, or by the model of its queue while that tells
// little.
func (c *Cell) remainingAlone(now time.Duration, s *step, r *run, p float64) time.Duration {
	if r.showsSpeed() && r.percent >= minForecastPercent {
		return r.remainingByProgress(now, p)
	}
	w := c.workers[r.worker.ID]
	if s.Estimate <= 0 || w == nil {
		return unknownRemaining
	}
	model, speed, elapsed := c.durations[s.job.Queue], c.speedOf(w), time.Duration(0)
	if r.resumes() {
		// Its progress includes that of an earlier run, or its age is unknown.
		done := min(r.percent/completePercent, 1)
		return time.Duration((1 - done) * float64(model.Quantile(s.Estimate, p)) / speed)
	}
	if r.begunAt > 0 {
		elapsed = now - r.begunAt
	}
	return time.Duration(float64(model.Remaining(s.Estimate, time.Duration(float64(elapsed)*speed), p)) / speed)
}

// resumes reports whether the age of a run does not tell how much of its work is done.
func (r *run) resumes() bool { return r.restored || r.number > 1 }

// remainingByProgress predicts the remaining time of a run from its progress so far. For a
// probability other than a half it counts with up to one percent less or more than reported.
func (r *run) remainingByProgress(now time.Duration, p float64) time.Duration {
	percent := min(r.percent+1-2*p, completePercent)
	total := float64(r.progressedAt-r.begunAt) * completePercent / percent
	// A run that was reported again without progress has slowed down.
	total = max(total, float64(r.confirmedAt-r.begunAt)*completePercent/(r.percent+1))
	return max(0, time.Duration(total)-(now-r.begunAt))
}

// remainingIfVaried returns the remaining time of a run, as often too high as too low, if the run
// times of its queue vary widely, and 0 otherwise.
func (c *Cell) remainingIfVaried(now time.Duration, r *run) time.Duration {
	if s, _ := c.findTask(r.id); s == nil || !c.spreadOf(s.job.Queue).varied {
		return 0
	}
	return c.remaining(now, r, evenly)
}

// endsSoon reports whether the room of a run is very likely to come free as soon if it goes on
// as if it is stopped. Where run times don't vary widely, its progress alone decides.
func (c *Cell) endsSoon(now time.Duration, s *step, r *run) bool {
	return c.spreadOf(s.job.Queue).varied && c.remaining(now, r, likely) <= c.options.StopTime+stopMargin
}

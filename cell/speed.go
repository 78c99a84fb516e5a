package cell

import (
	"math"
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// minSpeedSample is how long a run must have worked before its progress is used to
	// estimate the speed of its worker. Progress is reported in percent.
	minSpeedSample = 600 * time.Millisecond
	// slowSpeedRatio is the fraction of the usual speed below which a worker counts as slow.
	// The kinds of workers differ by a third, and estimates by a factor of two.
	slowSpeedRatio = 0.35
	// minSlowRuns is the least number of runs that a comparison needs, since estimates of
	// single runs are wrong.
	minSlowRuns = 2
	// slowWorkerPause is how long a slow worker gets no new work; each report extends it
	// while the worker is slow.
	slowWorkerPause = 1500 * time.Millisecond
	// queueSpeedWeight is the weight of the past in the usual speed of a queue, and
	// workerSpeedWeight in the speed of a worker: estimates are wrong by half, and a busy
	// worker has two ended runs in a second.
	queueSpeedWeight  = 20
	workerSpeedWeight = 12
	// maxSpeedRatio limits the effect of a single run on the speed of its worker, in both
	// directions.
	maxSpeedRatio = 3
	// speedLevels is the number of levels per unit of relative speed by which workers are
	// compared. The kinds of workers in use differ by a fifth.
	speedLevels = 5
	// tightDeadlineSlack is the slack in its objective below which a job is placed on fast
	// workers.
	tightDeadlineSlack = 2 * time.Second
)

// speeds holds the usual speed of runs relative to their estimates, by queue. Use a non-nil
// map.
type speeds map[string]float64

// learn updates the usual speed of a queue and the speed of a worker after a run that ended
// as done.
func (s speeds) learn(queue string, w *worker, estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	speed := float64(estimate) / float64(took)
	if known, ok := s[queue]; ok {
		w.learnSpeed(speed / known)
		speed = known + (speed-known)/queueSpeedWeight
	}
	s[queue] = speed
}

// learnSpeed updates the speed of a worker after a run with the given speed relative to the
// usual one of its queue.
func (w *worker) learnSpeed(relative float64) {
	relative = min(max(relative, 1.0/maxSpeedRatio), maxSpeedRatio)
	w.speedOffset += (relative - 1 - w.speedOffset) / workerSpeedWeight
}

// speedLevel returns the relative speed of a worker in levels, for comparison.
func (w *worker) speedLevel() int { return int(math.Round(speedLevels * (1 + w.speedOffset))) }

// hasTightDeadline reports whether a job has so little slack that the speed of its workers
// decides whether it is in time.
func (j *job) hasTightDeadline(queue workload.Queue) bool {
	return j.objective(queue)-j.longestChain < tightDeadlineSlack
}

// checkSpeed pauses a worker whose runs progress far more slowly than usual.
func (c *Cell) checkSpeed(now time.Duration, w *worker) {
	runs, sum := 0, 0.0
	for _, r := range w.runs {
		s, _ := c.findTask(r.id)
		if s == nil || r.state != running || r.restored || s.Daemon || s.Filler || s.Gang || s.Estimate <= 0 || r.progressedAt-r.begunAt < minSpeedSample {
			continue
		}
		usual, ok := c.speeds[s.job.Queue]
		if !ok {
			continue
		}
		worked := time.Duration(r.percent / 100 * float64(s.Estimate))
		sum += float64(worked) / float64(r.progressedAt-r.begunAt) / usual
		runs++
	}
	if runs < minSlowRuns || sum/float64(runs) > slowSpeedRatio {
		return
	}
	if now >= w.pausedUntil {
		c.log(LogEntry{Event: "worker slow", Worker: w.ID, Reason: formatCount(runs, len(w.runs)) + " runs are slow"})
	}
	w.pausedUntil = max(w.pausedUntil, now+slowWorkerPause)
}

package cell

import (
	"math"
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// minSpeedSample is how long a run must have worked for its progress to tell how fast
	// its worker is. Progress comes in percent.
	minSpeedSample = 600 * time.Millisecond
	// slowSpeedRatio is the part of the usual speed below which a worker is slow. The
	// kinds of workers differ by a third, and estimates by a factor of two.
	slowSpeedRatio = 0.35
	// minSlowRuns is how many runs must agree; estimates of single ones are wrong.
	minSlowRuns = 2
	// slowWorkerPause is how long a slow worker gets nothing new; it is looked at again
	// with each report.
	slowWorkerPause = 1500 * time.Millisecond
	// queueSpeedWeight is the weight of the past in the usual speed of a queue, and
	// workerWeight in that of a worker: estimates are wrong by half, and a busy worker
	// has two ends in a second.
	queueSpeedWeight  = 20
	workerSpeedWeight = 12
	// maxSpeedRatio bounds what one run tells of its worker.
	maxSpeedRatio = 3
	// speedLevels is how finely workers are told apart by their speed. The kinds of the
	// users differ by a fifth.
	speedLevels = 5
	// tightDeadlineSlack is the time that a job may lose below which it goes to fast workers.
	tightDeadlineSlack = 2 * time.Second
)

// speeds holds how fast runs of a queue usually are against their estimates. The
// zero value knows nothing.
type speeds map[string]float64

// learn takes a run on a worker that has ended as done.
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

// learnSpeed takes the speed of a run against the usual one of its queue.
func (w *worker) learnSpeed(relative float64) {
	relative = min(max(relative, 1.0/maxSpeedRatio), maxSpeedRatio)
	w.speedOffset += (relative - 1 - w.speedOffset) / workerSpeedWeight
}

// speedLevel is the speed of a worker in steps, for comparison.
func (w *worker) speedLevel() int { return int(math.Round(speedLevels * (1 + w.speedOffset))) }

// hasTightDeadline reports whether a job can lose so little time that the speed of its workers
// decides whether it is in time.
func (j *job) hasTightDeadline(queue workload.Queue) bool {
	return j.objective(queue)-j.longestChain < tightDeadlineSlack
}

// checkSpeed lets a worker rest on which runs make far less progress than usual.
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

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
	// minSlowRuns is the least number of runs that a comparison needs, since single tasks
	// differ in length.
	minSlowRuns = 2
	// maxReliableDeviation is the mean deviation of a queue's speeds, relative to their mean,
	// above which its estimates tell nothing about single runs.
	maxReliableDeviation = 0.3
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

// QueueSpeed is the speed of the runs of a queue relative to their estimates.
type QueueSpeed struct {
	// Mean is the usual speed.
	Mean float64 `cbor:"1,keyasint"`
	// Deviation is the mean deviation from Mean, as a fraction of it.
	Deviation float64 `cbor:"2,keyasint"`
}

// reliable reports whether the estimates of the queue are good enough to tell a slow worker
// from a task that takes longer than estimated.
func (q QueueSpeed) reliable() bool { return q.Deviation <= maxReliableDeviation }

// speeds holds the speed of runs by queue. Use a non-nil map.
type speeds map[string]QueueSpeed

// learn updates the usual speed of a queue and the speed of a worker after a run that ended
// as done.
func (s speeds) learn(queue string, w *worker, estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	speed := float64(estimate) / float64(took)
	usual, ok := s[queue]
	if !ok {
		s[queue] = QueueSpeed{Mean: speed}
		return
	}
	deviation := min(math.Abs(speed/usual.Mean-1), maxSpeedRatio)
	usual.Deviation += (deviation - usual.Deviation) / queueSpeedWeight
	w.learnSpeed(speed/usual.Mean, usual.evidence())
	usual.Mean += (speed - usual.Mean) / queueSpeedWeight
	s[queue] = usual
}

// evidence returns the weight of a run of the queue in the speed of its worker. It is 1 for a
// reliable queue and falls with the variance of others, so that the speeds of workers are as
// exact whatever queues run on them.
func (q QueueSpeed) evidence() float64 {
	if q.reliable() {
		return 1
	}
	return math.Pow(maxReliableDeviation/q.Deviation, 2)
}

// learnSpeed updates the speed of a worker after a run with the given speed relative to the
// usual one of its queue.
func (w *worker) learnSpeed(relative, weight float64) {
	relative = min(max(relative, 1.0/maxSpeedRatio), maxSpeedRatio)
	w.speedOffset += weight * (relative - 1 - w.speedOffset) / workerSpeedWeight
}

// speedOf returns the speed of a worker relative to the mean of the workers. A change that all
// workers show alike is thus one of the tasks, not of the workers.
func (c *Cell) speedOf(w *worker) float64 { return (1 + w.speedOffset) / (1 + c.meanSpeedOffset) }

// atUsualSpeed returns the time that a run would have taken on a worker of usual speed.
func (c *Cell) atUsualSpeed(took time.Duration, w *worker) time.Duration {
	return time.Duration(float64(took) * c.speedOf(w))
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
		s, t := c.findTask(r.id)
		if s == nil || !r.showsSpeed() || s.Daemon || s.Filler || s.Gang {
			continue
		}
		t.rate, t.rateWorker = r.rate(), w.ID
		if relative, ok := c.relativeSpeed(s, r); ok {
			sum += relative
			runs++
		}
	}
	if runs < minSlowRuns || sum/float64(runs) > slowSpeedRatio {
		return
	}
	if now >= w.pausedUntil {
		c.log(LogEntry{Event: "worker slow", Worker: w.ID, Reason: formatCount(runs, len(w.runs)) + " runs are slow"})
	}
	w.pausedUntil = max(w.pausedUntil, now+slowWorkerPause)
}

// showsSpeed reports whether the progress of a run tells the speed of its worker. A run that
// resumes from a checkpoint starts with the progress of the one before.
func (r *run) showsSpeed() bool {
	return r.state == running && !r.restored && r.number == 1 && r.progressedAt-r.begunAt >= minSpeedSample
}

// rate returns the progress of a run in percent per second.
func (r *run) rate() float64 { return r.percent / (r.progressedAt - r.begunAt).Seconds() }

// relativeSpeed compares a run with those of the same step on other workers, whose estimate
// is the same. Without enough of these it compares the run with its estimate, and reports
// false if the estimates of the queue are not reliable.
func (c *Cell) relativeSpeed(s *step, r *run) (relative float64, ok bool) {
	if usual, ok := s.rateElsewhere(r.worker.ID); ok {
		return r.rate() / usual, true
	}
	usual, ok := c.speeds[s.job.Queue]
	if !ok || !usual.reliable() || s.Estimate <= 0 {
		return 0, false
	}
	return r.rate() / completePercent * s.Estimate.Seconds() / usual.Mean, true
}

// rateElsewhere returns the mean rate of a step's runs on other workers than the given one,
// or false if these are too few.
func (s *step) rateElsewhere(worker string) (float64, bool) {
	n, sum := 0, 0.0
	for _, t := range s.tasks {
		if t.rateWorker != "" && t.rateWorker != worker {
			n++
			sum += t.rate
		}
	}
	return sum / float64(max(1, n)), n >= minSlowRuns && sum > 0
}

package cell

import (
	"cmp"
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

// expiryFactor times its objective is when a job earns nothing more.
const expiryFactor = 3

// objectiveWorkers is how many workers the question has that an objective allows for
// each step.
const objectiveWorkers = 30

// rankedStep is a step with its place in the order of service.
type rankedStep struct {
	*step
	// queue is that of the job; routed tells that the catalogue still has it.
	queue  workload.Queue
	routed bool
	// lateness tells what the job can still earn.
	lateness lateness
	// latestStart is when the step must start for its job to be in time.
	latestStart time.Duration
	// work is what the job takes in all, in processor-seconds.
	work float64
}

// lateness is what a job can still earn.
type lateness int

// The standings, in the order of service.
const (
	inTime lateness = iota
	late
	expired
)

func (c *Cell) rankStep(now time.Duration, s *step) rankedStep {
	queue, routed := c.queues[s.job.Queue]
	s.tightDeadline = s.job.hasTightDeadline(queue)
	r := rankedStep{step: s, queue: queue, routed: routed, latestStart: s.latestStart(queue), work: s.job.work}
	switch {
	case now <= r.latestStart:
	case now <= s.expiryTime(queue):
		r.lateness = late
	default:
		r.lateness = expired
	}
	return r
}

// expiryTime returns when a step must have started for its job to earn anything.
func (s *step) expiryTime(queue workload.Queue) time.Duration {
	return s.latestStart(queue) + (expiryFactor-1)*s.job.objective(queue)
}

// compare orders those in time by when they must start. Of those that are late the
// small ones go first: they earn more for what they take.
func (r rankedStep) compare(other rankedStep) int {
	byStart := cmp.Compare(r.latestStart, other.latestStart)
	if r.lateness == late {
		byStart = cmp.Compare(r.work, other.work)
	}
	return cmp.Or(cmp.Compare(r.lateness, other.lateness), byStart, cmp.Compare(r.queue.Priority, other.queue.Priority),
		cmp.Compare(r.id.Job, other.id.Job), cmp.Compare(r.id.Step, other.id.Step), cmp.Compare(r.id.Occurrence, other.id.Occurrence))
}

// latestStart returns when a step must start for its job to meet its objective.
func (s *step) latestStart(queue workload.Queue) time.Duration {
	return s.waitingSince + s.job.objective(queue) - s.job.chainEstimates[s.id.Step]
}

// objective returns the time in which a job should be done.
func (j *job) objective(queue workload.Queue) time.Duration {
	chain := j.longestChain
	if queue.Advice != nil {
		chain += time.Duration(len(j.Steps)) * queue.Advice.QuestionDuration(objectiveWorkers)
	}
	return time.Duration(queue.Stretch*float64(chain)) + queue.Allowance
}

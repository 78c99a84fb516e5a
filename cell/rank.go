package cell

import (
	"cmp"
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

// expiryFactor is the multiple of its objective after which a job earns nothing.
const expiryFactor = 3

// objectiveWorkers is the number of workers named in a question, as assumed in objectives: an
// objective includes one question for each step.
const objectiveWorkers = 30

// rankedStep is a step with the values that decide its scheduling order.
type rankedStep struct {
	*step
	// queue is the queue of the job with its policy; routed reports whether runs may start.
	queue    workload.Queue
	routed   bool
	lateness lateness
	// startBy is the latest start at which the job meets its objective.
	startBy time.Duration
	// countedStart is startBy, later by the objective if the job is beyond the share of its
	// organisation: it then comes after the jobs within their share that have to start in that
	// time, but before those that can wait for longer.
	countedStart time.Duration
	// work is the cost of the whole job in processor-seconds.
	work float64
}

// lateness tells whether a job can still meet its objective, or earn anything.
type lateness int

// The values of lateness, in scheduling order.
const (
	inTime lateness = iota
	late
	expired
)

func (c *Cell) rankStep(now time.Duration, s *step) rankedStep {
	queue, routed := s.job.queue(), c.mayStart(s.job)
	c.updateEstimates(s.job)
	s.tightDeadline, s.deadline = s.job.hasTightDeadline(queue), c.deadlineOf(now, s, queue)
	r := rankedStep{step: s, queue: queue, routed: routed, startBy: s.latestStart(queue), work: s.job.work}
	r.countedStart = r.startBy
	if s.job.BeyondShare {
		r.countedStart += s.job.objective(queue)
	}
	switch {
	case now <= r.startBy:
	case now <= s.expiryTime(queue):
		r.lateness = late
	default:
		r.lateness = expired
	}
	return r
}

// expiryTime returns the latest start of a step at which its job still earns anything.
func (s *step) expiryTime(queue workload.Queue) time.Duration {
	return s.latestStart(queue) + (expiryFactor-1)*s.job.objective(queue)
}

// compare orders steps by lateness and then by the start that they count for, but late steps by
// the work of their jobs: small jobs earn more for the capacity that they use.
func (r rankedStep) compare(other rankedStep) int {
	byStart := cmp.Compare(r.countedStart, other.countedStart)
	if r.lateness == late {
		byStart = cmp.Compare(r.work, other.work)
	}
	return cmp.Or(cmp.Compare(r.lateness, other.lateness), byStart, cmp.Compare(r.queue.Priority, other.queue.Priority),
		cmp.Compare(r.id.Job, other.id.Job), cmp.Compare(r.id.Step, other.id.Step), cmp.Compare(r.id.Occurrence, other.id.Occurrence))
}

// latestStart returns the latest start of a step at which its job meets its objective.
func (s *step) latestStart(queue workload.Queue) time.Duration {
	return s.waitingSince + s.job.objective(queue) - s.job.chainEstimates[s.id.Step]
}

// objective returns the time within which a job should finish.
func (j *job) objective(queue workload.Queue) time.Duration {
	chain := j.longestChain
	if queue.Advice != nil {
		chain += time.Duration(len(j.Steps)) * queue.Advice.QuestionDuration(objectiveWorkers)
	}
	return time.Duration(queue.Stretch*float64(chain)) + queue.Allowance
}

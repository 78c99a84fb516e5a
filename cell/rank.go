package cell

import (
	"cmp"
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

// lateFactor times its objective is when a job earns nothing more.
const lateFactor = 3

// objectiveWorkers is how many workers the question has that an objective allows for
// each step.
const objectiveWorkers = 30

// ranked is a step with its place in the order of service.
type ranked struct {
	*step
	// queue is that of the job; routed tells that the catalogue still has it.
	queue  workload.Queue
	routed bool
	// standing tells what the job can still earn.
	standing standing
	// start is when the step must start for its job to be in time.
	start time.Duration
	// work is what the job takes in all, in processor-seconds.
	work float64
}

// standing is what a job can still earn.
type standing int

// The standings, in the order of service.
const (
	inTime standing = iota
	late
	hopeless
)

func (c *Cell) rank(now time.Duration, s *step) ranked {
	queue, routed := c.queues[s.job.Queue]
	s.hurries = s.job.hurries(queue)
	r := ranked{step: s, queue: queue, routed: routed, start: s.latestStart(queue), work: s.job.work}
	switch {
	case now <= r.start:
	case now <= s.hopelessFrom(queue):
		r.standing = late
	default:
		r.standing = hopeless
	}
	return r
}

// hopelessFrom returns when a step must have started for its job to earn anything.
func (s *step) hopelessFrom(queue workload.Queue) time.Duration {
	return s.latestStart(queue) + (lateFactor-1)*s.job.objective(queue)
}

// compare orders those in time by when they must start. Of those that are late the
// small ones go first: they earn more for what they take.
func (r ranked) compare(other ranked) int {
	byStart := cmp.Compare(r.start, other.start)
	if r.standing == late {
		byStart = cmp.Compare(r.work, other.work)
	}
	return cmp.Or(cmp.Compare(r.standing, other.standing), byStart, cmp.Compare(r.queue.Priority, other.queue.Priority),
		cmp.Compare(r.id.Job, other.id.Job), cmp.Compare(r.id.Step, other.id.Step), cmp.Compare(r.id.Occurrence, other.id.Occurrence))
}

// latestStart returns when a step must start for its job to meet its objective.
func (s *step) latestStart(queue workload.Queue) time.Duration {
	return s.since + s.job.objective(queue) - s.job.chains[s.id.Step]
}

// objective returns the time in which a job should be done.
func (j *job) objective(queue workload.Queue) time.Duration {
	chain := j.chain
	if queue.Advice != nil {
		chain += time.Duration(len(j.Steps)) * queue.Advice.Duration(objectiveWorkers)
	}
	return time.Duration(queue.Stretch*float64(chain)) + queue.Allowance
}

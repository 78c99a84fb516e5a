package cell

import (
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

// MaxServiceBytes limits the name of a service in the record of a job's progress, so that a part of it
// fits a row of the store.
const MaxServiceBytes = 1024

// followCatalogue gives a job the placement that its queue has in the catalogue, unless the catalogue
// is older than the job's policy. If the operator has removed the queue, the job keeps the placement
// that it had last. A job that was accepted by an earlier version of this program has no policy, and
// gets that of the first catalogue that has its queue.
func (c *Cell) followCatalogue(j *job) {
	q, ok := c.queues[j.Queue]
	if !ok || c.catalogue.Version <= j.policy.Version {
		return
	}
	before, newest := j.policy, q.Policy(c.catalogue.Version)
	if before.IsZero() {
		j.policy = newest
		c.adopted = append(c.adopted, j)
	} else {
		j.policy = before.WithPlacement(newest)
	}
	if !before.HasPlacementOf(j.policy) {
		c.markChanged(j)
	}
}

// queue returns the queue of a job with the policy that holds for the job.
func (j *job) queue() workload.Queue { return j.policy.Queue(j.Queue) }

// recordedPolicy returns the policy of a job for its record, or nil if it is that under which the
// job was accepted. The host and the prefix are in the record of the job itself.
func (j *job) recordedPolicy() *workload.Policy {
	if j.policy.HasPlacementOf(j.Policy) || len(j.policy.Service) > MaxServiceBytes {
		return nil
	}
	p := j.policy
	p.Host, p.Prefix = "", ""
	return &p
}

// policyFromRecord returns the policy that a job had when its progress was recorded.
func policyFromRecord(w workload.Job, p Progress) workload.Policy {
	switch {
	case p.Policy == nil:
		return w.Policy
	case w.Policy.IsZero():
		return *p.Policy
	default:
		return w.Policy.WithPlacement(*p.Policy)
	}
}

// mayStart reports whether the runs of a job may start: its policy is known, and so are the limits
// of the organisations, which the catalogue has.
func (c *Cell) mayStart(j *job) bool { return !j.policy.IsZero() && c.catalogue.Version > 0 }

// isOrphaned reports whether the operator has removed the queue of a job.
func (c *Cell) isOrphaned(j *job) bool {
	_, ok := c.queues[j.Queue]
	return !ok && c.catalogue.Version > 0 && !j.state.Final()
}

// OrphanedJobCount returns the number of jobs whose queue the operator has removed. They run on.
func (c *Cell) OrphanedJobCount() int {
	n := 0
	for _, j := range c.jobs {
		if c.isOrphaned(j) {
			n++
		}
	}
	return n
}

// failExhausted fails the jobs whose policy was not known when their attempts ran out.
func (c *Cell) failExhausted(now time.Duration) {
	for _, j := range c.adopted {
		if c.jobs[j.ID] == j {
			c.failIfExhausted(now, j)
		}
	}
	c.adopted = nil
}

// failIfExhausted fails a job if a task of it has no attempts left.
func (c *Cell) failIfExhausted(now time.Duration, j *job) {
	if j.policy.IsZero() {
		return
	}
	for _, s := range j.steps {
		for _, t := range s.tasks {
			if !s.Daemon && !t.done && t.failures > 0 && t.failures >= j.policy.MaxAttempts {
				c.finish(now, j, workload.Failed, "task "+s.taskID(t).String()+" has no attempts left")
				return
			}
		}
	}
}

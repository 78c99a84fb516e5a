package scheduler

import (
	"time"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// finishedBytes is the memory of the record of a job that has ended, in bytes, while its state can
	// be queried.
	finishedBytes = 256
	// refusedBacklog is a reason for a refusal.
	refusedBacklog = "the jobs of the cell take all the memory that its hosts have for them"
)

// admitToBacklog reports whether the hosts of the cell have memory for a new job, or has refused it.
// One that was cancelled before its submission arrived takes none.
func (o *Owner) admitToBacklog(now time.Duration, job workload.Job, reply func(intake.Reply)) bool {
	o.updateBacklog(now)
	if o.records.isPreCancelled(job.ID) {
		return true
	}
	retryAfter, ok := o.backlog.Admit(now, cell.JobBytes(job), job.BeyondShare)
	if !ok {
		// Its organisation is not charged for it.
		o.admission.Return(now, job.Organisation, job.BeyondShare)
		o.counters.Refused.Add(1)
		o.counters.BacklogRefused.Add(1)
		reply(intake.Reply{Outcome: intake.Overloaded, RetryAfter: retryAfter, Why: refusedBacklog})
	}
	return ok
}

// updateBacklog notes the memory of the jobs that the cell holds.
func (o *Owner) updateBacklog(now time.Duration) {
	held := o.cell.JobBytes() + finishedBytes*int64(o.records.finished.len())
	o.backlog.SetLimit(o.backlogLimit.Load())
	o.backlog.Update(now, held)
	o.counters.BacklogBytes.Store(held)
}

package decision

import (
	"slices"

	"github.com/vanillaquay/vanillaquay/task"
)

// A rack whose owner is unreachable reports nothing until another member owns
// it, which takes at least a lease and longer if no member can. An idempotent
// request does not wait for that: its attempt counts as lost and another one
// follows in another rack. The first may still run, which does no harm. All
// other work waits, since it must not run in two places.

// onRackUnreachable removes the view of an unreachable rack and retries its
// idempotent requests in other racks.
func (c *Core) onRackUnreachable(e RackUnreachable) {
	c.cell.markUnreachable(e.Rack, c.now)
	var found []*job
	for _, j := range c.jobs {
		if j.activeCount() > 0 && j.work.Kind == task.Request && !j.work.NeedsDurableRecord() {
			found = append(found, j)
		}
	}
	slices.SortFunc(found, compareSubmission)
	for _, j := range found {
		c.retryElsewhere(j, e)
	}
}

// retryElsewhere ends the attempts of a job that may run in the unreachable
// rack as lost.
func (c *Core) retryElsewhere(j *job, e RackUnreachable) {
	for i := range j.tasks {
		if a := &j.tasks[i]; a.rack != e.Rack || j.attemptID(i) == e.UnsentAttempt {
			continue
		}
		switch j.tasks[i].state {
		case "Placing", "Settling", "Running":
			c.onEnded(j, Report{Status: Ended, Attempt: j.attemptID(i), Rack: e.Rack, Outcome: task.Lost})
		}
	}
}

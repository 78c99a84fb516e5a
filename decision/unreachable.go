package decision

import (
	"slices"

	"github.com/vanillaquay/vanillaquay/task"
)

// A rack whose owner can't be reached tells nothing of what runs there until another
// member owns it, which takes a lease at least, and longer where no member can. A
// request that is idempotent does not wait for that: its attempt counts as lost and
// another one follows in another rack. The first may still run, which is no harm to
// such work. All other work waits, since it must not run in two places.

// onRackUnreachable drops a rack whose owner can't be reached, and tries the idempotent
// requests elsewhere that are there.
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

// retryElsewhere gives the attempts of a job up that may run in a rack.
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

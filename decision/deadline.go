package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// missesDeadline reports whether a request would probably miss its deadline
// after a wait. The expected run time is the longest of its family, or the
// average if the longest alone exceeds the time left.
func (c *Core) missesDeadline(w task.Work, wait time.Duration) bool {
	if wait <= 0 || w.Kind != task.Request || w.Deadline.IsZero() {
		return false
	}
	timeLeft := w.Deadline.Sub(c.now)
	f := c.familyOf(w)
	runTime := f.longestRunTime()
	if runTime >= timeLeft {
		runTime = f.averageRun
	}
	return wait+runTime > timeLeft
}

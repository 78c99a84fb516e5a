package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// missesDeadline reports whether a request that waits for so long would most likely not
// end before its deadline. It is expected to run for as long as the longest of
// its family, or if that exceeds the time left, for as long as most of them.
func (c *Core) missesDeadline(w task.Work, wait time.Duration) bool {
	if wait <= 0 || w.Kind != task.Request || w.Deadline.IsZero() {
		return false
	}
	left := w.Deadline.Sub(c.now)
	f := c.familyOf(w)
	run := f.longestRunTime()
	if run >= left {
		run = f.averageRun
	}
	return wait+run > left
}

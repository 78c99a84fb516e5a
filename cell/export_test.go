package cell

import (
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

// Remaining calls remaining for the newest run of a task.
func (c *Cell) Remaining(now time.Duration, id workload.TaskID, p float64) time.Duration {
	_, t := c.findTask(id)
	return c.remaining(now, t.runs[len(t.runs)-1], p)
}

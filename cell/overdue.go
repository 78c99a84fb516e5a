package cell

import (
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

// maxOverdueFactor bounds, as a multiple of the time for which a job may wait and still be useful,
// the time for which it counts as overdue. One that has waited for longer may be unable to start
// at all, and must not count for ever.
const maxOverdueFactor = 2

// updateOverdue notes the organisations of which jobs beyond the share wait in vain: no task has
// been placed in the time after which the job can't earn anything any more. New jobs beyond the
// share would wait behind them.
func (c *Cell) updateOverdue(now time.Duration) {
	clear(c.overdue)
	if len(c.catalogue.Organisations) == 0 {
		return
	}
	for _, j := range c.jobs {
		if !j.BeyondShare || j.state != workload.Queued || j.Schedule.Count > 0 {
			continue
		}
		if !c.mayStart(j) {
			continue
		}
		useful := expiryFactor*j.objective(j.queue()) - j.longestChain
		if waited := now - j.acceptedAt; waited > useful && waited <= maxOverdueFactor*useful {
			c.overdue[j.Organisation] = true
		}
	}
}

// IsOverdue reports whether jobs beyond the share of an organisation waited, at the last Tick, for
// longer than they may and still be useful.
func (c *Cell) IsOverdue(organisation string) bool { return c.overdue[organisation] }

// Organisations returns the organisations in the catalogue.
func (c *Cell) Organisations() []workload.Organisation { return c.catalogue.Organisations }

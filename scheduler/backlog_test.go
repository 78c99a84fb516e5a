package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/intake"
)

// Guards against jobs beyond what the hosts of the cell can hold, against a refusal of a job that was
// accepted before, and against an organisation that is charged for refused jobs.
func TestJobsBeyondTheBacklogAreRefused(t *testing.T) {
	const fitting = 3
	c := qt.New(t)
	o := newSharedOwner()
	o.SetBacklogLimit(fitting * cell.JobBytes(submission("0000000000000001").Job))
	_, refused := o.submit(time.Second, "", fitting)
	c.Assert(refused, qt.Equals, 0)
	_, refused = o.submit(time.Second, "", 1)
	c.Assert(refused, qt.Equals, 1)
	c.Check(o.replies[0].Outcome, qt.Equals, intake.Overloaded)
	c.Check(o.replies[0].RetryAfter >= time.Second, qt.IsTrue)
	o.replies = nil
	o.ExecuteCall(time.Second, 0, submission("0000000000000001"))
	c.Check(o.replies, qt.HasLen, 0)
	// There is room again once a job has been abandoned.
	c.Assert(o.Cell().Abandon(time.Second, "0000000000000001"), qt.IsTrue)
	beyond, refused := o.submit(2*time.Second, "a", 1)
	c.Check(beyond+refused, qt.Equals, 0)
	for range 20 {
		_, refused = o.submit(2*time.Second, "a", 1)
		c.Check(refused, qt.Equals, 1)
	}
	c.Assert(o.Cell().Abandon(2*time.Second, "0000000000000002"), qt.IsTrue)
	beyond, refused = o.submit(2*time.Second, "a", 1)
	c.Check(beyond+refused, qt.Equals, 0)
}

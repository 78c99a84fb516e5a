package decision_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/task"
)

// TestAnswerIsKeptForRetentionTime checks that the answer of a request that is
// not idempotent is kept for an hour, in which a repeat must not run it again,
// and dropped after that.
func TestAnswerIsKeptForRetentionTime(t *testing.T) {
	c := newCell(4)
	work := smallWork(task.Request, 1)
	work.Idempotent, work.RunTime = false, time.Second
	first := c.submit(work)
	c.run(5*time.Second, func() {})
	qt.Assert(t, c.replies[first].State, qt.Equals, task.Ran)
	c.run(time.Hour-10*time.Second, func() {})
	jobs := c.core.Counts()
	qt.Assert(t, jobs["Answered"], qt.Equals, 1)
	c.run(10*time.Second, func() {})
	qt.Assert(t, c.core.Counts()["Answered"], qt.Equals, 0)
}

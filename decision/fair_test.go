package decision_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/task"
)

// TestTeamOverItsShareLeavesSpareCapacity lets one team fill the cell after
// another team had work, so that it must leave an eighth free. Once the other
// team only has work running, the whole cell is used.
func TestTeamOverItsShareLeavesSpareCapacity(t *testing.T) {
	const whole = 16 * 64_000
	c := newCell(16)
	short := smallWork(task.Batch, 1)
	short.RunTime = 100 * time.Millisecond
	c.submit(short)
	c.run(time.Second, func() {})
	greedy := smallWork(task.Batch, 0)
	greedy.RunTime = 5 * time.Second
	refill := func() {
		for c.core.Waiting() < 1000 {
			c.submit(greedy)
		}
	}
	refill()
	c.run(30*time.Second, refill)
	qt.Check(t, c.usage()["t0"].Processors, qt.Equals, int64(whole-whole/8))
	wide := smallWork(task.AllAtOnce, 1)
	wide.Tasks, wide.Size.Processors, wide.RunTime = 16, 8000, time.Second
	job, single := c.submit(wide), c.submit(short)
	c.run(2*time.Second, refill)
	qt.Check(t, waitTime(t, c, job), qt.Equals, time.Duration(0))
	qt.Check(t, waitTime(t, c, single) < 3*time.Second, qt.IsTrue, qt.Commentf("%v", waitTime(t, c, single)))
	// Running work of the other team is no demand, so nothing is kept free for
	// it.
	long := smallWork(task.Batch, 1)
	long.RunTime = time.Hour
	c.submit(long)
	c.run(70*time.Second, refill)
	qt.Check(t, c.usage()["t0"].Processors, qt.Equals, whole-long.Size.Processors)
}

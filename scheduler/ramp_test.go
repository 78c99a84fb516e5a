package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/scheduler"
)

// connectWorkers lets an owner connect to workers for some time, and returns the number
// of workers that it has connected to.
func connectWorkers(a *scheduler.WorkerRamp, from, length time.Duration, workers int) int {
	connected := 0
	for now := from; now < from+length; now += 10 * time.Millisecond {
		allowed := min(a.Available(now), workers-connected)
		a.Consume(allowed)
		connected += allowed
	}
	return connected
}

// An owner connects to all workers of a cell of the expected size at once.
func TestSmallCellIsConnectedAtOnce(t *testing.T) {
	a := scheduler.NewWorkerRamp()
	qt.Assert(t, connectWorkers(&a, time.Hour, 10*time.Millisecond, 350), qt.Equals, 350)
}

// The owner of 3,000 workers must have time to renew its lease while it connects to them.
func TestLargeCellIsConnectedGradually(t *testing.T) {
	c := qt.New(t)
	a := scheduler.NewWorkerRamp()
	c.Assert(connectWorkers(&a, time.Hour, time.Second, 3000) <= 720, qt.IsTrue)
	c.Assert(connectWorkers(&a, time.Hour+time.Second, 20*time.Second, 2280), qt.Equals, 2280)
}

// Workers that join later are again connected at once.
func TestRampRefillsAfterAPause(t *testing.T) {
	c := qt.New(t)
	a := scheduler.NewWorkerRamp()
	c.Assert(connectWorkers(&a, time.Hour, time.Second, 600), qt.Equals, 600)
	c.Assert(connectWorkers(&a, time.Hour+2*time.Second, 10*time.Millisecond, 120), qt.Equals, 120)
}

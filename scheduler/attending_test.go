package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/scheduler"
)

// begin lets an owner begin with workers for some time, and returns with how many it has.
func begin(a *scheduler.Attending, from, length time.Duration, workers int) int {
	begun := 0
	for now := from; now < from+length; now += 10 * time.Millisecond {
		taken := min(a.Allow(now), workers-begun)
		a.Took(taken)
		begun += taken
	}
	return begun
}

// The owner of a cell as the users have them begins with all workers at once.
func TestSmallCellIsAttendedToAtOnce(t *testing.T) {
	a := scheduler.NewAttending()
	qt.Assert(t, begin(&a, time.Hour, 10*time.Millisecond, 350), qt.Equals, 350)
}

// The owner of 3,000 workers has time left to renew its lease while it begins.
func TestLargeCellIsAttendedToStepByStep(t *testing.T) {
	c := qt.New(t)
	a := scheduler.NewAttending()
	c.Assert(begin(&a, time.Hour, time.Second, 3000) <= 720, qt.IsTrue)
	c.Assert(begin(&a, time.Hour+time.Second, 20*time.Second, 2280), qt.Equals, 2280)
}

// Workers that come later are attended to at once again.
func TestNewWorkersAfterARest(t *testing.T) {
	c := qt.New(t)
	a := scheduler.NewAttending()
	c.Assert(begin(&a, time.Hour, time.Second, 600), qt.Equals, 600)
	c.Assert(begin(&a, time.Hour+2*time.Second, 10*time.Millisecond, 120), qt.Equals, 120)
}

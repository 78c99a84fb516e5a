package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/scheduler"
)

// The settings change, and the host is stopped before its owner has given the cell up for
// that: it is asked to resign twice.
func TestResignIsAskedForTwice(t *testing.T) {
	o := scheduler.New(scheduler.Options{}, nil, nil, nil, nil, nil, nil, nil)
	o.Resign()
	o.Resign()
}

// A start is accepted while a batch of events is taken, and its answer is in the same
// batch. A report that was asked for before, and comes behind it, doesn't have the run:
// it must not count as newer than the answer, or the task runs twice.
func TestEventsOfABatchHaveTheirOwnTime(t *testing.T) {
	o := scheduler.New(scheduler.Options{}, nil, nil, nil, nil, nil, nil, nil)
	var first, answered, asked time.Duration
	c := qt.New(t)
	c.Assert(o.Post(func(now time.Duration) { answered = now }), qt.IsTrue)
	o.Handle(func(now time.Duration) {
		first = now
		time.Sleep(20 * time.Millisecond)
		asked = clock.Now()
	})
	c.Assert(first < asked, qt.IsTrue)
	c.Assert(answered >= asked, qt.IsTrue)
}

// More events wait than one batch takes, as for an owner without processor time. Grants
// among them count before leases are taken to have ended.
func TestEventsAreTakenBeforeTimePasses(t *testing.T) {
	c := qt.New(t)
	o := scheduler.New(scheduler.Options{}, nil, nil, nil, nil, nil, nil, nil)
	const waiting = 1000
	taken := 0
	for range waiting {
		c.Assert(o.Post(func(time.Duration) { taken++ }), qt.IsTrue)
	}
	o.Advance()
	c.Assert(taken, qt.Equals, waiting)
}

// A busy large cell: an event comes each half millisecond, and each may let something be
// placed. What waits is gone through once in a while, and the last event is not forgotten.
func TestLooksAtWhatWaitsAreApart(t *testing.T) {
	c := qt.New(t)
	o := scheduler.New(scheduler.Options{}, nil, nil, nil, nil, nil, nil, nil)
	looks := 0
	now := time.Second
	for range 2000 {
		o.Change()
		if wait := o.Schedule(now); wait == scheduler.Never {
			looks++
		}
		now += 500 * time.Microsecond
	}
	c.Assert(looks <= 51, qt.IsTrue, qt.Commentf("%d looks in a second", looks))
	now += time.Second
	o.Change()
	c.Assert(o.Schedule(now), qt.Equals, scheduler.Never)
	o.Change()
	wait := o.Schedule(now + time.Millisecond)
	c.Assert(wait, qt.Equals, 19*time.Millisecond)
	now += time.Millisecond
	c.Assert(o.Schedule(now+wait), qt.Equals, scheduler.Never)
	c.Assert(o.Schedule(now+wait), qt.Equals, scheduler.Never, qt.Commentf("nothing has changed since"))
}

// A job comes just after a look at what waits, and a transaction can begin: the one that
// accepts the job is to record its runs as well. In place of it the next one would, and the
// store may be away by then.
func TestNewJobIsPlacedBeforeItsAcceptanceIsRecorded(t *testing.T) {
	c := qt.New(t)
	o := newOwner(&desk{})
	now := time.Minute
	o.Change()
	c.Assert(o.Schedule(now), qt.Equals, scheduler.Never)
	now += time.Millisecond
	o.Change()
	c.Assert(o.Schedule(now), qt.Equals, 19*time.Millisecond)
	o.Take(now, 0, submission("a"))
	c.Assert(o.Schedule(now), qt.Equals, scheduler.Never)
}

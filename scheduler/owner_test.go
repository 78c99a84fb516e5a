package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/scheduler"
)

// A change of settings makes the owner resign, and the host is stopped before the cell is
// released, which makes the owner resign again.
func TestResignMayBeCalledTwice(t *testing.T) {
	o := scheduler.New(scheduler.Options{}, nil, nil, nil, nil, nil, nil, nil)
	o.Resign()
	o.Resign()
}

// A start is accepted while a batch of events is handled, and its answer is in the same
// batch. A report requested before the answer arrived doesn't have the run yet; if it
// counted as newer than the answer, the task would run twice.
func TestEventsInABatchHaveTheirOwnTime(t *testing.T) {
	o := scheduler.New(scheduler.Options{}, nil, nil, nil, nil, nil, nil, nil)
	var first, answered, requested time.Duration
	c := qt.New(t)
	c.Assert(o.TryEnqueue(func(now time.Duration) { answered = now }), qt.IsTrue)
	o.HandleEvent(func(now time.Duration) {
		first = now
		time.Sleep(20 * time.Millisecond)
		requested = clock.Now()
	})
	c.Assert(first < requested, qt.IsTrue)
	c.Assert(answered >= requested, qt.IsTrue)
}

// More events are queued than one batch handles, as for an owner short of processor time.
// Lease grants among them must be handled before leases are checked for expiry.
func TestQueuedEventsAreHandledBeforeTheClockAdvances(t *testing.T) {
	c := qt.New(t)
	o := scheduler.New(scheduler.Options{}, nil, nil, nil, nil, nil, nil, nil)
	const waiting = 1000
	handled := 0
	for range waiting {
		c.Assert(o.TryEnqueue(func(time.Duration) { handled++ }), qt.IsTrue)
	}
	o.AdvanceClock()
	c.Assert(handled, qt.Equals, waiting)
}

// In a busy large cell there is an event every half millisecond, and each may make
// something placeable. Scheduling passes must be rate-limited, and the last event must
// not be missed.
func TestSchedulingPassesAreRateLimited(t *testing.T) {
	c := qt.New(t)
	o := scheduler.New(scheduler.Options{}, nil, nil, nil, nil, nil, nil, nil)
	passes := 0
	now := time.Second
	for range 2000 {
		o.MarkStale()
		if wait := o.Schedule(now); wait == scheduler.Never {
			passes++
		}
		now += 500 * time.Microsecond
	}
	c.Assert(passes <= 51, qt.IsTrue, qt.Commentf("%d scheduling passes in a second", passes))
	now += time.Second
	o.MarkStale()
	c.Assert(o.Schedule(now), qt.Equals, scheduler.Never)
	o.MarkStale()
	wait := o.Schedule(now + time.Millisecond)
	c.Assert(wait, qt.Equals, 19*time.Millisecond)
	now += time.Millisecond
	c.Assert(o.Schedule(now+wait), qt.Equals, scheduler.Never)
	c.Assert(o.Schedule(now+wait), qt.Equals, scheduler.Never, qt.Commentf("nothing has changed since"))
}

// A job arrives just after a scheduling pass, when a transaction may start. The
// transaction that accepts the job must record its runs as well; otherwise the next one
// would, and the store may be unavailable by then.
func TestNewJobIsScheduledBeforeItsFirstTransaction(t *testing.T) {
	c := qt.New(t)
	o := newOwner(&fakeMembers{})
	now := time.Minute
	o.MarkStale()
	c.Assert(o.Schedule(now), qt.Equals, scheduler.Never)
	now += time.Millisecond
	o.MarkStale()
	c.Assert(o.Schedule(now), qt.Equals, 19*time.Millisecond)
	o.ExecuteCall(now, 0, submission("a"))
	c.Assert(o.Schedule(now), qt.Equals, scheduler.Never)
}

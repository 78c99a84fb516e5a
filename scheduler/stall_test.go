package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/intake"
)

// A store that is 94 times slower than usual takes 0.95 s for a transaction. Jobs that come
// meanwhile are recorded by the next one: they are neither refused nor taken back.
func TestSlowStoreIsNoReasonToRefuse(t *testing.T) {
	c := qt.New(t)
	d := &desk{}
	o := newOwner(d)
	begun := time.Minute
	for _, last := range []time.Duration{15 * time.Millisecond, 950 * time.Millisecond} {
		o.Record(begun, last)
		now := begun + 950*time.Millisecond
		o.Take(now, 0, submission("a"+last.String()))
		o.AbandonFresh(now)
		c.Assert(d.replies, qt.HasLen, 0)
	}
}

// A transaction that takes much longer than the last one may never end: new jobs are refused
// within the time in which their callers can still come back, and those whose record was
// not sent are taken back.
func TestStoreThatIsAwayIsReasonToRefuse(t *testing.T) {
	c := qt.New(t)
	for _, last := range []time.Duration{15 * time.Millisecond, 950 * time.Millisecond, 10 * time.Second} {
		d := &desk{}
		o := newOwner(d)
		begun := time.Minute
		o.Record(begun, last)
		o.Take(begun+time.Second, 0, submission("a"))
		now := begun + 1900*time.Millisecond
		o.Take(now, 0, submission("b"))
		o.AbandonFresh(now)
		c.Assert(d.replies, qt.HasLen, 2, qt.Commentf("last %v", last))
		for _, r := range d.replies {
			c.Assert(r.Outcome, qt.Equals, intake.Unavailable)
			c.Assert(r.RetryAfter > 0, qt.IsTrue)
		}
	}
}

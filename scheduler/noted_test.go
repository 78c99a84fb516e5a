package scheduler_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/scheduler"
)

func TestRecordedEndsMayBeForgotten(t *testing.T) {
	c := qt.New(t)
	var n scheduler.Noted
	n.Heard(7)
	c.Assert(n.Forget(), qt.Equals, int64(0))
	n.Record(7, 3)
	n.Record(7, 2)
	n.Heard(7)
	c.Assert(n.Forget(), qt.Equals, int64(3))
}

// The transaction that records the ends of one life ends after the worker has begun
// another, as it does while the store is slow. The number must not make the worker forget
// the ends of its new life, which nobody has seen.
func TestEndsOfAnotherLifeAreNotForgotten(t *testing.T) {
	c := qt.New(t)
	var n scheduler.Noted
	n.Heard(7)
	n.Heard(8)
	n.Record(7, 57)
	c.Assert(n.Forget(), qt.Equals, int64(0))
	n.Record(8, 2)
	c.Assert(n.Forget(), qt.Equals, int64(2))
}

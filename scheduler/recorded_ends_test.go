package scheduler_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/scheduler"
)

func TestRecordedEndsMayBeDiscarded(t *testing.T) {
	c := qt.New(t)
	var n scheduler.RecordedEnds
	c.Assert(n.LastDiscardable(7), qt.Equals, int64(0))
	n.Record(7, 3)
	n.Record(7, 2)
	c.Assert(n.LastDiscardable(7), qt.Equals, int64(3))
}

// A slow store confirms the transaction with the ends of one life after the worker has
// begun another. The recorded number must not make the worker discard ends of its new
// life, which have not been reported.
func TestEndsOfNewLifeAreNotDiscarded(t *testing.T) {
	c := qt.New(t)
	var n scheduler.RecordedEnds
	n.Record(7, 57)
	c.Assert(n.LastDiscardable(8), qt.Equals, int64(0))
	n.Record(8, 2)
	c.Assert(n.LastDiscardable(8), qt.Equals, int64(2))
}

package scheduler_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/workload"
)

// explain asks an owner without an event loop, and handles its events meanwhile.
func (o *sharedOwner) explain(q cell.Query) (e cell.Explanation, err error) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		e, err = o.Explain(context.Background(), q)
	}()
	for {
		select {
		case <-done:
			return e, err
		case <-time.After(time.Millisecond):
			o.AdvanceClock()
		}
	}
}

// An owner recovers the cell, or is stuck, while tools ask again and again. No query may wait for
// ever, and no more than one may be queued among the events of workers.
func TestExplainWaitsForABoundedTime(t *testing.T) {
	c := qt.New(t)
	o := newSharedOwner()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_, err := o.Explain(ctx, cell.Query{Job: "a"})
	c.Assert(errors.Is(err, errors.Timeout), qt.IsTrue)
	_, err = o.Explain(context.Background(), cell.Query{Job: "a"})
	c.Assert(err, qt.ErrorMatches, ".*try again")
	o.AdvanceClock()
	_, err = o.explain(cell.Query{Job: "a"})
	c.Assert(errors.Is(err, errors.NotFound), qt.IsTrue)
}

// An operator asks about new jobs of an organisation that has used up its share. They must be told
// to be beyond it, and questions must not count as jobs.
func TestExplainTellsOfShareAndRefusal(t *testing.T) {
	c := qt.New(t)
	o := newSharedOwner()
	now := clock.Now()
	q := cell.Query{Queue: "q", Organisation: "a", Step: workload.Step{TaskCount: 1}}
	for range 50 {
		e, err := o.explain(q)
		c.Assert(err, qt.IsNil)
		c.Assert(e.BeyondShare, qt.IsFalse)
	}
	beyond, _ := o.submit(now, "a", 30)
	c.Assert(beyond > 15, qt.IsTrue)
	e, err := o.explain(q)
	c.Assert(err, qt.IsNil)
	c.Assert([]any{e.BeyondShare, e.Refused}, qt.DeepEquals, []any{true, ""})
	o.SetCommitInFlight(1, 0)
	e, err = o.explain(q)
	c.Assert(err, qt.IsNil)
	c.Assert(e.Refused, qt.Equals, "the store is slow or away")
	// The end of a job is about to be recorded, and the cell has forgotten it.
	o.SetCommitInFlight(clock.Now(), 0)
	id := "0000000000000001"
	o.ExecuteCall(now, 0, intake.Call{Verb: intake.Cancel, ID: id, Queue: "q"})
	_, changes, _ := o.Cell().TakeOutput()
	o.AddChanges(changes)
	e, err = o.explain(cell.Query{Job: id})
	c.Assert(err, qt.IsNil)
	c.Assert(e, qt.DeepEquals, cell.Explanation{Job: id, State: workload.Running})
}

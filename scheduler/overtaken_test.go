package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/workload"
)

func cancellation(id string) intake.Call {
	return intake.Call{Verb: intake.Cancel, Queue: "q", ID: id}
}

// A copy of a submission is delayed, and the job is cancelled before any copy has arrived.
// Once the cancellation is acknowledged the delayed copy must not start tasks (UNASKED).
func TestLateSubmissionOfCancelledJobDoesNotRun(t *testing.T) {
	c := qt.New(t)
	replies := make(replyChannel, 10)
	o, _ := runOwner(c, &heldStore{}, replies)
	call := func(call intake.Call) intake.Reply {
		o.HandleCall("h", call)
		return replies.next(c)
	}
	state := intake.Call{Verb: intake.State, Queue: "q", ID: "a"}
	for range 2 {
		c.Assert(call(cancellation("a")).Outcome, qt.Equals, intake.NotFound)
	}
	c.Assert(call(state).Outcome, qt.Equals, intake.NotFound, qt.Commentf("nobody has submitted the job"))
	for range 2 {
		c.Assert(call(submission("a")).Outcome, qt.Equals, intake.Accepted)
		reply := call(state)
		c.Assert(reply.Outcome, qt.Equals, intake.Reported)
		c.Assert(reply.State, qt.Equals, workload.Cancelled)
	}
	c.Assert(call(cancellation("a")).Outcome, qt.Equals, intake.Accepted)
	c.Assert(call(intake.Call{Verb: intake.Waiting, Queue: "q"}).Waiting, qt.Equals, 0)
	c.Assert(call(submission("b")).Outcome, qt.Equals, intake.Accepted)
	c.Assert(call(intake.Call{Verb: intake.Waiting, Queue: "q"}).Waiting, qt.Equals, 1)
}

// The same across a takeover: the delayed copy reaches the next owner.
func TestCancellationBeforeSubmissionReachesTheNextOwner(t *testing.T) {
	c := qt.New(t)
	r, store := scheduler.NewRecords("p"), storedRows{}
	r.PreCancel(0, "a")
	store.commit(c, r)
	c.Assert(store.loadRecords(c).IsPreCancelled("a"), qt.IsTrue)
}

// The acceptance of a job that was cancelled before it was submitted is recorded before it is
// acknowledged, like any other.
func TestLateSubmissionIsAcknowledgedOnceRecorded(t *testing.T) {
	c := qt.New(t)
	store, replies := &heldStore{}, make(replyChannel, 10)
	o, _ := runOwner(c, store, replies)
	o.HandleCall("h", cancellation("a"))
	c.Assert(replies.next(c).Outcome, qt.Equals, intake.NotFound)
	release := store.hold()
	for range 2 {
		o.HandleCall("h", submission("a"))
	}
	replies.assertNone(c, 200*time.Millisecond)
	release()
	for range 2 {
		c.Assert(replies.next(c).Outcome, qt.Equals, intake.Accepted)
	}
}

// A caller cancels any number of jobs that do not exist. What an owner keeps of them is
// bounded, and a cancellation beyond the bound is refused, not acknowledged.
func TestCancellationsOfUnknownJobsAreBounded(t *testing.T) {
	c := qt.New(t)
	d := &fakeMembers{}
	o := newOwner(d)
	for n := range scheduler.MaxPreCancelled {
		o.ExecuteCall(time.Minute, 0, cancellation(fmt.Sprint(n)))
	}
	c.Assert(d.replies, qt.HasLen, 0, qt.Commentf("the replies wait for the record"))
	o.ExecuteCall(time.Minute, 0, cancellation("x"))
	c.Assert(d.replies, qt.HasLen, 1)
	c.Assert(d.replies[0].Outcome, qt.Equals, intake.Overloaded)
	c.Assert(d.replies[0].RetryAfter >= time.Second, qt.IsTrue)
}

// A final state is shown only once it is recorded. Until the late submission of a cancelled
// job is, the owner may have been replaced, and the job may run under its successor.
func TestStateOfLateSubmissionIsShownOnceRecorded(t *testing.T) {
	c := qt.New(t)
	store, replies := &heldStore{}, make(replyChannel, 10)
	o, _ := runOwner(c, store, replies)
	o.HandleCall("h", intake.Call{Number: 1, Verb: intake.Waiting, Queue: "q"})
	replies.next(c)
	store.hold()
	store.replaceOwner()
	o.HandleCall("h", cancellation("a"))
	o.HandleCall("h", submission("a"))
	o.HandleCall("h", intake.Call{Number: 2, Verb: intake.State, Queue: "q", ID: "a"})
	select {
	case r := <-replies:
		c.Assert(r.State, qt.Not(qt.Equals), workload.Cancelled)
	case <-time.After(200 * time.Millisecond):
	}
}

// The bound of cancelled unknown jobs counts those that are kept, and no others: they must
// neither be forgotten by a prune nor count for ever.
func TestPruneCountsCancelledUnknownJobs(t *testing.T) {
	for _, test := range []struct {
		retention time.Duration
		replies   int
	}{{time.Hour, 1}, {-time.Hour, 0}} {
		c := qt.New(t)
		d := &fakeMembers{}
		o := scheduler.New(scheduler.Options{StatusRetention: test.retention}, &ledger.Ledger{}, nil, nil, nil, d, &scheduler.Counters{}, discardLog())
		for n := range scheduler.MaxPreCancelled {
			o.ExecuteCall(time.Minute, 0, cancellation(fmt.Sprint(n)))
		}
		o.Prune(2 * time.Minute)
		o.ExecuteCall(3*time.Minute, 0, cancellation("x"))
		c.Check(d.replies, qt.HasLen, test.replies, qt.Commentf("retention %s", test.retention))
	}
}

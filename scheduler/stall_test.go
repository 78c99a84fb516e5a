package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/intake"
)

// A store that is 94 times slower than usual takes 0.95 s for a transaction. Jobs
// submitted meanwhile are recorded by the next one, and must be neither refused nor
// abandoned.
func TestSlowStoreDoesNotRefuseJobs(t *testing.T) {
	c := qt.New(t)
	d := &fakeMembers{}
	o := newOwner(d)
	start := time.Minute
	for _, last := range []time.Duration{15 * time.Millisecond, 950 * time.Millisecond} {
		o.SetCommitInFlight(start, last)
		now := start + 950*time.Millisecond
		o.ExecuteCall(now, 0, submission("a"+last.String()))
		o.AbandonNewJobs(now)
		c.Assert(d.replies, qt.HasLen, 0)
	}
}

// A transaction that takes much longer than the last one may never end. New jobs must be
// refused while their callers still have time to retry, and jobs whose record has not
// been sent must be abandoned.
func TestStalledStoreRefusesNewJobs(t *testing.T) {
	c := qt.New(t)
	for _, last := range []time.Duration{15 * time.Millisecond, 950 * time.Millisecond, 10 * time.Second} {
		d := &fakeMembers{}
		o := newOwner(d)
		start := time.Minute
		o.SetCommitInFlight(start, last)
		o.ExecuteCall(start+time.Second, 0, submission("a"))
		now := start + 1900*time.Millisecond
		o.ExecuteCall(now, 0, submission("b"))
		o.AbandonNewJobs(now)
		c.Assert(d.replies, qt.HasLen, 2, qt.Commentf("last %v", last))
		for _, r := range d.replies {
			c.Assert(r.Outcome, qt.Equals, intake.Unavailable)
			c.Assert(r.RetryAfter > 0, qt.IsTrue)
		}
	}
}

// While the store records nothing an owner can't confirm that a job is unknown. Its callers
// must be told so at once, with a time to come back, and not wait until their deadline.
func TestStalledStoreRefusesCallsForUnknownJobs(t *testing.T) {
	c := qt.New(t)
	d := &fakeMembers{}
	o := newOwner(d)
	start := time.Minute
	o.SetCommitInFlight(start, 15*time.Millisecond)
	now := start + 1900*time.Millisecond
	for n, verb := range []intake.Verb{intake.Cancel, intake.State} {
		o.ExecuteCall(now, 0, intake.Call{Verb: verb, Queue: "q", ID: "a"})
		c.Assert(d.replies, qt.HasLen, n+1)
		c.Assert(d.replies[n].Outcome, qt.Equals, intake.Unavailable)
		c.Assert(d.replies[n].RetryAfter > 0, qt.IsTrue)
	}
	// The refused cancellation has had no effect.
	o.SetCommitInFlight(0, 15*time.Millisecond)
	o.ExecuteCall(now, 0, submission("a"))
	c.Assert(o.WaitingJobs("q"), qt.Equals, 1)
}

// A question for an unknown job is asked just before the store stalls, and its copy after.
// Both must be refused: a caller whose call has an open copy learns nothing.
func TestStalledStoreRefusesWaitingQuestions(t *testing.T) {
	c := qt.New(t)
	d := &fakeMembers{}
	o := newOwner(d)
	start := time.Minute
	question := intake.Call{Verb: intake.State, Queue: "q", ID: "a"}
	o.ExecuteCall(start, 0, question)
	c.Assert(d.replies, qt.HasLen, 0)
	o.SetCommitInFlight(start, 15*time.Millisecond)
	now := start + 1900*time.Millisecond
	o.ExecuteCall(now, 0, question)
	o.AbandonNewJobs(now)
	c.Assert(d.replies, qt.HasLen, 2)
	for _, r := range d.replies {
		c.Assert(r.Outcome, qt.Equals, intake.Unavailable)
	}
}

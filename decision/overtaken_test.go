package decision_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/task"
)

// replyTo applies an event and returns the answer in the resulting actions.
func replyTo(c *qt.C, core *decision.Core, now time.Time, e decision.Event) task.Answer {
	for _, a := range core.Apply(now, e) {
		if r, ok := a.(decision.Reply); ok {
			return r.Answer
		}
	}
	c.Fatalf("no answer to %v", e)
	return task.Answer{}
}

// TestDelayedFirstTryDoesNotRunAfterRefusedRepeat guards against running a
// request whose caller was told that it did not run: the first try is delayed
// on its way and arrives after a repeat was refused.
func TestDelayedFirstTryDoesNotRunAfterRefusedRepeat(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	work := smallWork(task.Request, 1)
	work.ID, work.Idempotent, work.FirstTry, work.Deadline = "seat", false, false, now.Add(15*time.Second)
	repeat := decision.Submitted{Caller: 1, Wait: true, Partition: "p", Work: work}
	first := repeat
	first.Caller, first.Work.FirstTry = 2, true

	for _, inDoubt := range []bool{false, true} {
		c := qt.New(t)
		core := decision.New(decision.Options{})
		record := core.Apply(now, repeat)[0].(decision.Record)
		refusal := replyTo(c, core, now, decision.RecordFailed{Token: record.Token, InDoubt: inDoubt})
		c.Assert(refusal.State, qt.Equals, task.NotRun)
		if inDoubt {
			core.Apply(now, decision.RecordFailed{Token: record.Token})
		}
		late := replyTo(c, core, now.Add(10*time.Second), first)
		c.Assert(late.State, qt.Equals, task.NotRun)
		// The caller may still submit it again.
		again := core.Apply(now.Add(10*time.Second), repeat)
		c.Assert(again[0].(decision.Record).Entry.Work.ID, qt.Equals, work.ID)
	}
}

// TestLapsedLeaseMakesRefusedRepeatUnknown guards against answering a repeat
// with NotRun after the owner's lease has lapsed: the next owner may have run
// the work for another repeat.
func TestLapsedLeaseMakesRefusedRepeatUnknown(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	work := smallWork(task.Request, 1)
	work.ID, work.Idempotent, work.FirstTry = "seat", false, false
	repeat := decision.Submitted{Caller: 1, Wait: true, Partition: "p", Work: work}
	refused := func(inDoubt, leased, first bool) task.State {
		core := decision.New(decision.Options{})
		try := repeat
		try.Work.FirstTry = first
		record := core.Apply(now, try)[0].(decision.Record)
		core.Apply(now, decision.LeaseChanged{Valid: leased})
		return replyTo(c, core, now, decision.RecordFailed{Token: record.Token, InDoubt: inDoubt}).State
	}
	for _, inDoubt := range []bool{false, true} {
		c.Check(refused(inDoubt, true, false), qt.Equals, task.NotRun)
		c.Check(refused(inDoubt, false, true), qt.Equals, task.NotRun)
		c.Check(refused(inDoubt, false, false), qt.Equals, task.Unknown)
	}
	// The same holds for work that the owner knows it has refused.
	core := decision.New(decision.Options{})
	first := repeat
	first.Work.FirstTry, first.Work.Deadline = true, now.Add(time.Second)
	record := core.Apply(now, first)[0].(decision.Record)
	core.Apply(now, decision.Recorded{Token: record.Token})
	for _, a := range core.Apply(now.Add(2*time.Second), decision.Tick{}) {
		if r, ok := a.(decision.Record); ok {
			core.Apply(now.Add(2*time.Second), decision.Recorded{Token: r.Token})
		}
	}
	core.Apply(now, decision.LeaseChanged{Valid: false})
	c.Check(replyTo(c, core, now.Add(3*time.Second), repeat).State, qt.Equals, task.Unknown)
}

// TestResentFirstTryDoesNotRunAfterRefusedRepeat guards against running a first
// try that an entry host sends again over a full link because no answer came.
// Before the copy arrives, another host has answered the caller's repeat with
// NotRun.
func TestResentFirstTryDoesNotRunAfterRefusedRepeat(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, kind := range []task.Kind{task.Request, task.Batch} {
		c := qt.New(t)
		work := smallWork(kind, 1)
		work.ID, work.Idempotent, work.FirstTry = "seat", false, false
		repeat := decision.Submitted{Caller: 1, Wait: true, Partition: "p", Work: work}
		copied := repeat
		copied.Caller, copied.Work.FirstTry, copied.Repeated = 2, true, true
		core := decision.New(decision.Options{})
		record := core.Apply(now, repeat)[0].(decision.Record)
		refusal := replyTo(c, core, now, decision.RecordFailed{Token: record.Token})
		c.Assert(refusal.State, qt.Equals, task.NotRun)
		late := replyTo(c, core, now.Add(4*time.Second), copied)
		c.Check(late.Code, qt.Equals, decision.CodeOvertaken)
	}
}

// TestResentFirstTryDoesNotRunAfterJoinedRepeatWasRefused lets a repeat join a
// first try, and both be answered with NotRun at the deadline. A copy of the
// first try that arrives later must not run.
func TestResentFirstTryDoesNotRunAfterJoinedRepeatWasRefused(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	work := smallWork(task.Request, 1)
	work.ID, work.Idempotent, work.FirstTry, work.Deadline = "seat", false, true, now.Add(time.Second)
	first := decision.Submitted{Caller: 1, Wait: true, Partition: "p", Work: work}
	repeat := first
	repeat.Caller, repeat.Work.FirstTry = 2, false
	core := decision.New(decision.Options{})
	record := core.Apply(now, first)[0].(decision.Record)
	core.Apply(now, decision.Recorded{Token: record.Token})
	core.Apply(now, repeat)
	for _, a := range core.Apply(now.Add(2*time.Second), decision.Tick{}) {
		if r, ok := a.(decision.Record); ok {
			core.Apply(now.Add(2*time.Second), decision.Recorded{Token: r.Token})
		}
	}
	copied := first
	copied.Caller, copied.Repeated, copied.Work.Deadline = 3, true, now.Add(time.Minute)
	c.Check(replyTo(c, core, now.Add(3*time.Second), copied).Code, qt.Equals, decision.CodeOvertaken)
}

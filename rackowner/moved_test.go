package rackowner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/worker"
)

// moveWorker gives the worker another address.
func (f *fixture) moveWorker() {
	h := host("w1")
	h.Address = "127.0.0.1:2"
	f.UpdateWorkers(f.now, []tablestore.Host{h}, nil)
}

// isLost reports whether the last report is that attempt x is lost.
func (f *fixture) isLost() bool {
	r := f.lastReport()
	return r.Attempt == attemptOf("x") && r.Status == decision.Ended && r.Outcome == task.Lost
}

// tickAfter moves the clock on.
func (f *fixture) tickAfter(d time.Duration) {
	f.now = f.now.Add(d)
	f.Tick(f.now)
}

// A worker is listed at another address, where another process answers. The attempts of the first
// process must not count as lost before its leases have lapsed: it may still run them (TWICE).
func TestAttemptsOfTheProcessAtTheEarlierAddressAreNotLostUnderTheirLeases(t *testing.T) {
	c, f := newPlaced(t)
	f.moveWorker()
	f.adopt("w1", "b")
	c.Assert(f.lastReport().Status, qt.Equals, decision.Placed)
	// A stop can't reach the first process, and the next one has nothing to stop.
	f.command(1, decision.Withdraw, "x")
	c.Assert(f.sentVerbs("w1"), qt.HasLen, 0)
	f.tickAfter(worker.LeaseLapseTimeout - time.Second)
	f.adopt("w1", "c")
	c.Assert(f.isLost(), qt.IsFalse)
	f.tickAfter(2 * time.Second)
	c.Assert(f.isLost(), qt.IsTrue)
}

// The next process must not end, or list, the attempts that only the first one can have. One that
// does is wrong, and the first still runs them (TWICE).
func TestEndsOfTheProcessAtTheNextAddressAreIgnored(t *testing.T) {
	c, f := newPlaced(t)
	f.moveWorker()
	f.adopt("w1", "b")
	f.HandleEvents(f.now, "r1", "w1", []worker.Event{{Sequence: 1, Attempt: attemptOf("x"), Outcome: task.Broke}})
	f.adopt("w1", "b", worker.Attempt{ID: attemptOf("x"), Outcome: task.Broke})
	c.Assert(f.lastReport().Status, qt.Equals, decision.Placed)
	c.Assert(f.Counts().InvalidEvents, qt.Equals, 2)
	f.tickAfter(worker.LeaseLapseTimeout + time.Second)
	c.Assert(f.isLost(), qt.IsTrue)
}

// A start is on its way when its worker gets another address. Its answer never arrives, and the
// attempt must not stay without an outcome for ever.
func TestStartOnItsWayToAnEarlierAddressIsLost(t *testing.T) {
	c, f := newAdopted(t)
	f.command(1, decision.Place, "x")
	f.moveWorker()
	f.adopt("w1", "b")
	c.Assert(f.reports, qt.HasLen, 0)
	f.tickAfter(worker.LeaseLapseTimeout + time.Second)
	c.Assert(f.isLost(), qt.IsTrue)
}

// The same process answers at the next address. Its inventory holds for all that was sent to it.
func TestProcessThatMovesWithItsWorkerKeepsItsAttempts(t *testing.T) {
	c, f := newPlaced(t)
	f.command(1, decision.Place, "y")
	f.moveWorker()
	f.adopt("w1", "a", worker.Attempt{ID: attemptOf("x"), Size: taskSize})
	c.Assert(f.lastReport().Attempt, qt.Equals, attemptOf("y"))
	c.Assert(f.lastReport().Outcome, qt.Equals, task.Lost)
	f.sent["w1"] = nil
	f.command(1, decision.Withdraw, "x")
	c.Assert(f.sentVerbs("w1"), qt.DeepEquals, []worker.Verb{worker.Stop})
	f.tickAfter(worker.LeaseLapseTimeout + time.Second)
	c.Assert(f.isLost(), qt.IsFalse)
}

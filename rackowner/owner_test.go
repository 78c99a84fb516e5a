package rackowner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/rackowner"
	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/worker"
)

// TestStaleClaimCommandIsIgnored guards against a replaced partition owner whose commands
// still start attempts.
func TestStaleClaimCommandIsIgnored(t *testing.T) {
	c, f := newAdopted(t)
	f.command(7, decision.Settle, "x")
	f.command(6, decision.Place, "y")
	c.Assert(f.sent["w1"], qt.HasLen, 0)

	// A claim may become known from the owner rows before any command.
	f.claims.Observe("p1", "e2", 9)
	f.command(8, decision.Place, "z")
	c.Assert(f.sent["w1"], qt.HasLen, 0)
	c.Assert(f.Counts().StaleCommands, qt.Equals, 2)
}

// TestClaimsSurviveRackTakeover guards against forgetting the latest partition claim when
// the rack is claimed again: a stale command would then start an attempt.
func TestClaimsSurviveRackTakeover(t *testing.T) {
	c, f := qt.New(t), newFixture()
	f.command(7, decision.Settle, "x")
	f.Claim(f.now, "r1", 2)
	f.adopt("w1", "a")
	f.command(6, decision.Place, "y")
	c.Assert(f.sent["w1"], qt.HasLen, 0)
}

// TestWithdrawnAttemptNeverStarts guards against a Place that arrives after the Withdraw
// of its attempt.
func TestWithdrawnAttemptNeverStarts(t *testing.T) {
	c, f := newAdopted(t)
	f.command(1, decision.Withdraw, "x")
	c.Assert(f.lastReport().Status, qt.Equals, decision.Refused)
	f.command(1, decision.Place, "x")
	c.Assert(f.sent["w1"], qt.HasLen, 0)
	c.Assert(f.lastReport().Status, qt.Equals, decision.Refused)
}

// TestSettleWaitsForAllWorkers guards against a false "not run" while one worker has not
// sent its inventory and its leases may not have lapsed.
func TestSettleWaitsForAllWorkers(t *testing.T) {
	c, f := qt.New(t), newFixture(host("w1"), host("w2"))
	f.adopt("w1", "a")
	f.command(1, decision.Settle, "x")
	c.Assert(f.reports, qt.HasLen, 0)

	f.HandleSilence(f.now, "r1", "w2", worker.LeaseDuration)
	f.command(1, decision.Settle, "x")
	c.Assert(f.reports, qt.HasLen, 0)

	f.HandleSilence(f.now, "r1", "w2", worker.LeaseLapseTimeout+time.Millisecond)
	f.command(1, decision.Settle, "x")
	c.Assert(f.lastReport().Status, qt.Equals, decision.Refused)
}

// TestAttemptIsNotLostWhilePredecessorMayRenewLeases guards against a false loss when the
// new owner can't reach a worker: the previous owner may still reach it and renew its
// leases.
func TestAttemptIsNotLostWhilePredecessorMayRenewLeases(t *testing.T) {
	c, f := qt.New(t), newFixture(host("w1"), host("w2"))
	f.Claim(f.now, "r1", 2)
	f.adopt("w1", "a")
	settleAfterSilence := func(length time.Duration) {
		f.now = f.now.Add(length)
		f.HandleSilence(f.now, "r1", "w2", time.Hour)
		f.command(1, decision.Settle, "x")
	}
	settleAfterSilence(time.Hour)
	f.MarkPredecessorsStopped(f.now, "r1", 1)
	settleAfterSilence(time.Hour)
	f.MarkPredecessorsStopped(f.now, "r1", 2)
	settleAfterSilence(worker.LeaseLapseTimeout)
	c.Assert(f.reports, qt.HasLen, 0)
	settleAfterSilence(time.Millisecond)
	c.Assert(f.lastReport().Outcome, qt.Equals, task.Lost)
}

func TestSupersededRackIsReleased(t *testing.T) {
	c, f := qt.New(t), newFixture()
	c.Assert(f.ReleaseIfSuperseded("r1", 1), qt.IsFalse)
	c.Assert(f.ReleaseIfSuperseded("r2", 5), qt.IsFalse)
	c.Assert(f.ReleaseIfSuperseded("r1", 2), qt.IsTrue)
	c.Assert(f.opened, qt.HasLen, 0)
	f.command(1, decision.Place, "x")
	c.Assert(f.lastReport().Reason, qt.Equals, rack.ReasonNotOwned)
}

// TestSettleWaitsForWorkerDelistedBeforeClaim guards against a false "not run" while a
// worker that was removed from the list just before the claim still runs the attempt.
func TestSettleWaitsForWorkerDelistedBeforeClaim(t *testing.T) {
	c, f := qt.New(t), newFixture(host("w1"), host("w2"))
	f.UpdateWorkers(f.now, []tablestore.Host{host("w1")}, nil)
	f.Claim(f.now, "r1", 2)
	f.adopt("w1", "a")
	f.command(1, decision.Settle, "x")
	c.Assert(f.reports, qt.HasLen, 0)

	f.adopt("w2", "a", worker.Attempt{ID: attemptOf("x"), Size: taskSize})
	f.command(1, decision.Settle, "x")
	c.Assert(f.lastReport().Status, qt.Equals, decision.Placed)
}

// TestSettleWaitsUntilWorkerListCoversALease guards against a false "not run" by a new
// process without the predecessor's digest: its first worker list may lack a worker that
// was just removed.
func TestSettleWaitsUntilWorkerListCoversALease(t *testing.T) {
	c, f := qt.New(t), newFixture()
	fresh := f.nextOwner()
	fresh.HandleCommand(f.now, "e1", command(1, decision.Settle, "x"))
	c.Assert(f.reports, qt.HasLen, 0)
	later := f.now.Add(worker.LeaseLapseTimeout + time.Millisecond)
	fresh.HandleCommand(later, "e1", command(1, decision.Settle, "x"))
	c.Assert(f.lastReport().Status, qt.Equals, decision.Refused)
}

// TestSettleWaitsForWorkerInPredecessorDigest guards against a false "not run" while an
// unlisted worker of the previous owner may still hold leases.
func TestSettleWaitsForWorkerInPredecessorDigest(t *testing.T) {
	c, f := qt.New(t), newFixture()
	f.HandleDigest(f.now, rack.Digest{Rack: "r1", Epoch: 2, Sequence: 9, Workers: []rack.WorkerSummary{{ID: "w1"}, {ID: "w9"}}})
	f.Claim(f.now, "r1", 3)
	f.adopt("w1", "a")
	f.command(1, decision.Settle, "x")
	c.Assert(f.reports, qt.HasLen, 0)
	f.now = f.now.Add(worker.LeaseLapseTimeout + time.Millisecond)
	f.Tick(f.now)
	f.command(1, decision.Settle, "x")
	// The previous owner may still renew the leases of the worker.
	c.Assert(f.reports, qt.HasLen, 0)
	f.MarkPredecessorsStopped(f.now, "r1", 3)
	f.now = f.now.Add(worker.LeaseLapseTimeout + time.Millisecond)
	f.Tick(f.now)
	f.command(1, decision.Settle, "x")
	// The attempt may have run on w9.
	c.Assert(f.lastReport().Outcome, qt.Equals, task.Lost)
}

// TestUnknownAttemptIsLostAfterAgentRestartBetweenOwners guards against a false "not run"
// when an agent restarted, and so forgot its attempts, between two owners.
func TestUnknownAttemptIsLostAfterAgentRestartBetweenOwners(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		c, f := newAdopted(t)
		f.Claim(f.now, "r1", 2)
		if restarted {
			f.adopt("w1", "b")
		} else {
			f.adopt("w1", "a")
		}
		f.command(1, decision.Settle, "x")
		c.Assert(f.lastReport().Status == decision.Ended, qt.Equals, restarted)
	}
}

// TestDoubtExcludesAttemptsOfLaterEpochs guards against a false loss of an attempt whose
// start was lost in flight to an owner in doubt about earlier attempts. The doubt covers
// only attempts sent before it arose, also after a further takeover.
func TestDoubtExcludesAttemptsOfLaterEpochs(t *testing.T) {
	for _, third := range []bool{false, true} {
		for sentEpoch, want := range map[uint64]decision.Status{0: decision.Ended, 1: decision.Ended, 2: decision.Refused} {
			c, f := newAdopted(t)
			f.Claim(f.now, "r1", 2)
			f.adopt("w1", "b")
			if third {
				f.Claim(f.now, "r1", 3)
				f.adopt("w1", "b")
			}
			f.settle(sentEpoch)
			c.Assert(f.lastReport().Status, qt.Equals, want)
		}
	}
}

// TestUnreportedEndIsLostAfterTakeover guards against a false "not run" when a worker
// restarts and its owner is replaced before it has delivered the report.
func TestUnreportedEndIsLostAfterTakeover(t *testing.T) {
	c, f := newPlaced(t)
	f.adopt("w1", "b")
	f.Claim(f.now, "r1", 2)
	f.adopt("w1", "b")
	f.settle(1)
	c.Assert(f.lastReport().Status, qt.Equals, decision.Ended)
	c.Assert(f.lastReport().Outcome, qt.Equals, task.Lost)
}

// TestPredecessorDigestLetsNewOwnerSettleImmediately guards against a wait of a whole
// lease after a takeover although the predecessor's digest names all workers.
func TestPredecessorDigestLetsNewOwnerSettleImmediately(t *testing.T) {
	c, f := qt.New(t), newFixture()
	fresh := f.nextOwner(rack.Digest{Rack: "r1", Epoch: 1, Sequence: 9, Workers: []rack.WorkerSummary{{ID: "w1"}}})
	fresh.HandleCommand(f.now, "e1", command(1, decision.Settle, "x"))
	c.Assert(f.lastReport().Status, qt.Equals, decision.Refused)
}

// TestPredecessorDigestMayArriveAfterClaim guards against ignoring the predecessor's
// digest when it arrives after the claim.
func TestPredecessorDigestMayArriveAfterClaim(t *testing.T) {
	c, f := qt.New(t), newFixture()
	fresh := f.nextOwner()
	settle := command(1, decision.Settle, "x")
	fresh.HandleCommand(f.now, "e1", settle)
	c.Assert(f.reports, qt.HasLen, 0)
	fresh.HandleDigest(f.now, rack.Digest{Rack: "r1", Epoch: 1, Sequence: 9, Workers: []rack.WorkerSummary{{ID: "w1"}}})
	fresh.HandleCommand(f.now, "e1", settle)
	c.Assert(f.lastReport().Status, qt.Equals, decision.Refused)
}

func TestUnlistedWorkerIsRemovedWhenIdle(t *testing.T) {
	c, f := qt.New(t), newFixture()
	f.adopt("w1", "a", worker.Attempt{ID: attemptOf("x"), Size: taskSize})
	f.UpdateWorkers(f.now, nil, nil)
	f.command(1, decision.Place, "y")
	c.Assert(f.lastReport().Reason, qt.Equals, rack.ReasonNoCapacity)
	f.now = f.now.Add(2 * worker.LeaseLapseTimeout)
	f.Tick(f.now)
	c.Assert(f.opened, qt.HasLen, 1)

	f.HandleSilence(f.now, "r1", "w1", worker.LeaseLapseTimeout+time.Millisecond)
	c.Assert(f.lastReport().Outcome, qt.Equals, task.Lost)
	f.Tick(f.now)
	c.Assert(f.opened, qt.HasLen, 0)
}

func TestWorkerRestartLosesItsAttempts(t *testing.T) {
	c, f := newPlaced(t)
	f.adopt("w1", "b")
	c.Assert(f.lastReport().Status, qt.Equals, decision.Ended)
	c.Assert(f.lastReport().Outcome, qt.Equals, task.Lost)
	f.Tick(f.now)
	f.PublishDigests()
	c.Assert(f.digests[len(f.digests)-1].Workers[0].Free, qt.Equals, capacity)
}

// TestUnansweredStartIsLostAtRestart guards against reporting an attempt as refused
// although the worker may have started it before it restarted.
func TestUnansweredStartIsLostAtRestart(t *testing.T) {
	c, f := newAdopted(t)
	f.command(1, decision.Place, "x")
	f.HandleUnanswered(f.now, "r1", "w1", f.sent["w1"][0])
	c.Assert(f.lastReport().Outcome, qt.Equals, task.Lost)
}

// TestEndFromWrongWorkerIsIgnored guards against an end from a worker on which the attempt
// was not placed, and against the end of an unknown attempt.
func TestEndFromWrongWorkerIsIgnored(t *testing.T) {
	c, f := qt.New(t), newFixture(host("w1"), host("w2"))
	f.adopt("w1", "a")
	f.adopt("w2", "a")
	f.command(1, decision.Place, "x")
	f.answerCommands("w1")
	end := worker.Event{Attempt: attemptOf("x"), Outcome: task.Succeeded}
	f.HandleEvents(f.now, "r1", "w2", []worker.Event{end})
	c.Assert(f.lastReport().Status, qt.Equals, decision.Placed)
	end.Attempt = attemptOf("unheard")
	f.HandleEvents(f.now, "r1", "w2", []worker.Event{end})
	c.Assert(f.lastReport().Status, qt.Equals, decision.Placed)
	c.Assert(f.Counts().InvalidEvents, qt.Equals, 2)
}

// TestEndIsReportedOnlyAfterStartIsConfirmed guards against an end event that arrives
// before the answer to the start.
func TestEndIsReportedOnlyAfterStartIsConfirmed(t *testing.T) {
	c, f := newAdopted(t)
	f.command(1, decision.Place, "x")
	f.HandleEvents(f.now, "r1", "w1", []worker.Event{{Attempt: attemptOf("x"), Outcome: task.Broke}})
	c.Assert(f.reports, qt.HasLen, 0)
	f.answerCommands("w1")
	c.Assert(f.lastReport().Outcome, qt.Equals, task.Broke)
}

func TestSecondEndIsIgnored(t *testing.T) {
	c, f := newPlaced(t)
	f.HandleEvents(f.now, "r1", "w1", []worker.Event{
		{Attempt: attemptOf("x"), Outcome: task.Succeeded, Body: []byte("whole")},
		{Attempt: attemptOf("x"), Outcome: task.Broke},
	})
	c.Assert(f.lastReport().Outcome, qt.Equals, task.Succeeded)
	c.Assert(f.reports, qt.HasLen, 2)
}

func TestInvalidUsageAndSmallChangesAreNotReported(t *testing.T) {
	c, f := newPlaced(t)
	sendUsage := func(processors int64) {
		f.HandleEvents(f.now, "r1", "w1", []worker.Event{{Attempt: attemptOf("x"), Used: task.Size{Processors: processors}}})
	}
	sendUsage(1 << 40)
	sendUsage(-1)
	c.Assert(f.usages, qt.HasLen, 0)
	sendUsage(1000)
	sendUsage(1050)
	sendUsage(1200)
	c.Assert(f.usages, qt.HasLen, 2)
}

func TestEndIsRepeatedUntilAcknowledged(t *testing.T) {
	c, f := newPlaced(t)
	f.HandleEvents(f.now, "r1", "w1", []worker.Event{{Attempt: attemptOf("x"), Outcome: task.Succeeded}})
	for range 100 {
		f.now = f.now.Add(100 * time.Millisecond)
		f.Tick(f.now)
	}
	c.Assert(len(f.reports) > 4 && len(f.reports) < 10, qt.IsTrue, qt.Commentf("%d reports in 10 s", len(f.reports)))
	f.command(1, decision.Forget, "x")
	reportCount := len(f.reports)
	f.now = f.now.Add(time.Minute)
	f.Tick(f.now)
	c.Assert(f.reports, qt.HasLen, reportCount)
	c.Assert(f.sentVerbs("w1"), qt.DeepEquals, []worker.Verb{worker.Forget})
}

// TestAdoptedAttemptAcceptsEveryCommand guards against a second start, or an attempt that
// can't be stopped, when a new owner knows it only from the inventory.
func TestAdoptedAttemptAcceptsEveryCommand(t *testing.T) {
	for _, verb := range []decision.Verb{decision.Confirm, decision.Settle, decision.Place, decision.Hold} {
		c, f := qt.New(t), newFixture()
		f.adopt("w1", "a", worker.Attempt{ID: attemptOf("x"), Size: taskSize})
		f.command(1, verb, "x")
		c.Assert(f.lastReport().Status, qt.Equals, decision.Placed)
		c.Assert(f.sent["w1"], qt.HasLen, 0)
		f.command(1, decision.Withdraw, "x")
		c.Assert(f.sentVerbs("w1"), qt.DeepEquals, []worker.Verb{worker.Stop})
	}
}

// TestConfirmAfterHoldExpiryStartsNothing guards against a start after the held capacity
// was released.
func TestConfirmAfterHoldExpiryStartsNothing(t *testing.T) {
	c, f := newAdopted(t)
	f.command(1, decision.Hold, "x")
	c.Assert(f.lastReport().Status, qt.Equals, decision.Held)
	f.now = f.now.Add(rackowner.HoldTimeout + time.Millisecond)
	f.Tick(f.now)
	c.Assert(f.lastReport().Status, qt.Equals, decision.Refused)
	f.command(1, decision.Confirm, "x")
	c.Assert(f.lastReport().Status, qt.Equals, decision.Refused)
	c.Assert(f.sent["w1"], qt.HasLen, 0)
}

// TestConfirmOnLeavingWorkerStartsNothing guards against a start on a worker that began to
// leave after the hold.
func TestConfirmOnLeavingWorkerStartsNothing(t *testing.T) {
	c, f := newAdopted(t)
	f.command(1, decision.Hold, "x")
	f.UpdateWorkers(f.now, []tablestore.Host{host("w1")}, map[string]bool{"w1": true})
	c.Assert(f.leaving["w1"], qt.IsTrue)
	f.command(1, decision.Confirm, "x")
	c.Assert(f.lastReport().Status, qt.Equals, decision.Refused)
	c.Assert(f.sent["w1"], qt.HasLen, 0)
}

func TestStartThatCannotBeQueuedIsRefused(t *testing.T) {
	c, f := newAdopted(t)
	f.queueFull = true
	f.command(1, decision.Place, "x")
	c.Assert(f.lastReport().Status, qt.Equals, decision.Refused)
}

func TestDigestWithHigherEpochReleasesRack(t *testing.T) {
	c, f := newAdopted(t)
	c.Assert(f.HandleDigest(f.now, rack.Digest{Rack: "r1", Epoch: 1}), qt.IsFalse)
	c.Assert(f.HandleDigest(f.now, rack.Digest{Rack: "r1", Epoch: 2}), qt.IsTrue)
	c.Assert(f.opened, qt.HasLen, 0)
	f.command(1, decision.Place, "x")
	c.Assert(f.lastReport().Reason, qt.Equals, rack.ReasonNotOwned)
}

// TestNegativeInventorySizeAddsNoCapacity guards against overcommitting a worker whose
// inventory lists an attempt of negative size.
func TestNegativeInventorySizeAddsNoCapacity(t *testing.T) {
	c, f := qt.New(t), newFixture()
	f.adopt("w1", "a", worker.Attempt{ID: attemptOf("x"), Size: task.Size{Processors: -1 << 40, Memory: -1 << 40, Slots: -8}})
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		f.command(1, decision.Place, id)
	}
	c.Assert(f.sent["w1"], qt.HasLen, 4)
}

// TestSettleDoesNotWaitForOwnerThatNeverDecided guards against a wait of a whole lease,
// which exceeds the deadline of a request, when a rack is transferred twice before anyone
// decides for it. The digest of the last owner that decided lists all workers.
func TestSettleDoesNotWaitForOwnerThatNeverDecided(t *testing.T) {
	for _, decided := range []uint64{1, 0} {
		c, f := qt.New(t), newFixture()
		fresh := rackowner.New(f.recordingPort, f.claims)
		fresh.UpdateWorkers(f.now, []tablestore.Host{host("w1")}, nil)
		if decided > 0 {
			fresh.HandleDigest(f.now, rack.Digest{Rack: "r1", Epoch: decided, Sequence: 9, Workers: []rack.WorkerSummary{{ID: "w1"}}})
		}
		fresh.ClaimAfter(f.now, "r1", 3, decided)
		fresh.HandleInventory(f.now, "r1", "w1", worker.Inventory{Capacity: capacity, Clock: time.Hour})
		fresh.HandleCommand(f.now, "e1", command(1, decision.Settle, "x"))
		c.Assert(f.reports, qt.HasLen, 1)
		c.Assert(f.lastReport().Status, qt.Equals, decision.Refused)
	}
}

// TestSettleWaitsAfterPredecessorWithPartialWorkerList guards against a false "not run"
// when the predecessor took the rack over without a digest: an earlier owner may have had
// a worker that neither of the two knows.
func TestSettleWaitsAfterPredecessorWithPartialWorkerList(t *testing.T) {
	c, f := qt.New(t), newFixture()
	second := rackowner.New(f.recordingPort, f.claims)
	second.UpdateWorkers(f.now, []tablestore.Host{host("w1")}, nil)
	second.Claim(f.now, "r1", 2)
	second.HandleInventory(f.now, "r1", "w1", worker.Inventory{Capacity: capacity, Clock: time.Hour})
	second.PublishDigests()

	third := rackowner.New(f.recordingPort, f.claims)
	third.UpdateWorkers(f.now, []tablestore.Host{host("w1")}, nil)
	third.HandleDigest(f.now, f.digests[len(f.digests)-1])
	third.Claim(f.now, "r1", 3)
	third.HandleInventory(f.now, "r1", "w1", worker.Inventory{Capacity: capacity, Clock: time.Hour})
	third.HandleCommand(f.now, "e1", command(1, decision.Settle, "x"))
	c.Assert(f.reports, qt.HasLen, 0)
	third.HandleCommand(f.now.Add(worker.LeaseLapseTimeout+time.Millisecond), "e1", command(1, decision.Settle, "x"))
	c.Assert(f.lastReport().Status, qt.Equals, decision.Refused)
}

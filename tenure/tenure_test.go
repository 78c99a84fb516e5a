package tenure_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/tenure"
)

const (
	second = time.Second
	ms     = time.Millisecond
)

// leaseState returns the state of a host to which the store replied every 100 ms until now,
// and which last observed a renewal at renewed.
func leaseState(renewed, now time.Duration) tenure.LeaseState {
	s := tenure.LeaseState{}.WithStoreReply(second).WithLease(renewed, "a", 7)
	for at := second; at <= now; at += 100 * ms {
		s = s.WithStoreReply(at)
	}
	return s
}

func TestRenewingOwnerIsNotReplaced(t *testing.T) {
	qt.Assert(t, leaseState(10*second, 11*second).ShouldTakeOver(11*second, 0, true, false), qt.IsFalse)
}

func TestOwnerWithoutRenewalsIsReplaced(t *testing.T) {
	s := leaseState(10*second, 13*second)
	qt.Assert(t, s.ShouldTakeOver(13*second, 0, true, false), qt.IsTrue)
	// The host of the next rank waits for the first.
	qt.Assert(t, s.ShouldTakeOver(12600*ms, 0, true, false), qt.IsTrue)
	qt.Assert(t, s.ShouldTakeOver(12600*ms, 1, true, false), qt.IsFalse)
}

func TestUnreachableOwnerIsReplacedSooner(t *testing.T) {
	s := leaseState(10*second, 10800*ms)
	qt.Assert(t, s.ShouldTakeOver(10800*ms, 0, false, false), qt.IsTrue)
	qt.Assert(t, s.ShouldTakeOver(10800*ms, 0, true, false), qt.IsFalse)
}

// A single missing renewal may just be late.
func TestUnreachableOwnerSurvivesOneLateRenewal(t *testing.T) {
	s := leaseState(10*second, 10700*ms)
	qt.Assert(t, s.ShouldTakeOver(10*second+2*tenure.RenewalInterval, 0, false, false), qt.IsFalse)
}

// No owner could renew while the store was down.
func TestStoreOutageDoesNotEndTenure(t *testing.T) {
	s := leaseState(10*second, 10*second)
	qt.Assert(t, s.ShouldTakeOver(14*second, 0, true, false), qt.IsFalse)
	s = s.WithStoreReply(14 * second)
	qt.Assert(t, s.ShouldTakeOver(14*second, 0, true, false), qt.IsFalse)
	for at := 14 * second; at <= 17*second; at += 100 * ms {
		s = s.WithStoreReply(at)
	}
	qt.Assert(t, s.ShouldTakeOver(17*second, 0, true, false), qt.IsTrue)
}

func TestReleasedCellIsTakenOverAtOnce(t *testing.T) {
	s := leaseState(10*second, 10*second).WithLease(10*second, "", 7)
	qt.Assert(t, s.ShouldTakeOver(10*second, 0, true, false), qt.IsTrue)
}

// A process that reads its own host as the owner is a successor of that owner.
func TestRestartedOwnerTakesOverAtOnce(t *testing.T) {
	qt.Assert(t, leaseState(10*second, 10*second).ShouldTakeOver(10*second, 2, true, true), qt.IsTrue)
}

func TestEarlierLeaseIsIgnored(t *testing.T) {
	s := leaseState(10*second, 10*second).WithLease(11*second, "b", 6)
	qt.Assert(t, s.Owner, qt.Equals, "a")
}

func TestStoreRecovered(t *testing.T) {
	c := qt.New(t)
	first := tenure.LeaseState{}.WithStoreReply(second)
	c.Assert(first.StoreRecovered(tenure.LeaseState{}), qt.IsFalse)
	next := first.WithStoreReply(2 * second)
	c.Assert(next.StoreRecovered(first), qt.IsFalse)
	c.Assert(next.WithStoreReply(6*second).StoreRecovered(next), qt.IsTrue)
}

// All hosts miss the third announcement of an owner at the same moment, when its lease is
// already older than the bound: their rank delays count from then on.
func TestTakeoverIsStaggeredAfterOwnerLoss(t *testing.T) {
	c := qt.New(t)
	s := leaseState(10*second, 11500*ms).WithReachability(10*second, true, true).WithReachability(11500*ms, false, true)
	c.Assert(s.ShouldTakeOver(11500*ms, 0, false, false), qt.IsTrue)
	c.Assert(s.ShouldTakeOver(11500*ms, 2, false, false), qt.IsFalse)
	c.Assert(s.WithReachability(11600*ms, false, true).ShouldTakeOver(11740*ms, 2, false, false), qt.IsTrue)
}

// In a cold start all hosts get their first configuration at the same moment, long after
// the store first replied: their rank delays count from then on.
func TestTakeoverIsStaggeredAfterColdStart(t *testing.T) {
	c := qt.New(t)
	s := tenure.LeaseState{}.WithReachability(second, true, false).WithStoreReply(second).WithStoreReply(2*second).WithReachability(2*second, true, true)
	c.Assert(s.ShouldTakeOver(2*second, 0, true, false), qt.IsTrue)
	c.Assert(s.ShouldTakeOver(2*second, 3, true, false), qt.IsFalse)
	c.Assert(s.ShouldTakeOver(2400*ms, 3, true, false), qt.IsTrue)
}

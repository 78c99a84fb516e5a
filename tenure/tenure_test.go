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

// watch returns what a host knows that heard the store every 100 ms until now and
// last saw a renewal at renewed.
func watch(renewed, now time.Duration) tenure.LeaseState {
	w := tenure.LeaseState{}.WithStoreReply(second).WithLease(renewed, "a", 7)
	for at := second; at <= now; at += 100 * ms {
		w = w.WithStoreReply(at)
	}
	return w
}

func TestOwnerThatRenewsStays(t *testing.T) {
	qt.Assert(t, watch(10*second, 11*second).ShouldTakeOver(11*second, 0, true, false), qt.IsFalse)
}

func TestSilentOwnerIsReplaced(t *testing.T) {
	w := watch(10*second, 13*second)
	qt.Assert(t, w.ShouldTakeOver(13*second, 0, true, false), qt.IsTrue)
	// The next in rank waits for the first.
	qt.Assert(t, w.ShouldTakeOver(12600*ms, 0, true, false), qt.IsTrue)
	qt.Assert(t, w.ShouldTakeOver(12600*ms, 1, true, false), qt.IsFalse)
}

func TestOwnerWithoutALinkIsReplacedSooner(t *testing.T) {
	w := watch(10*second, 10800*ms)
	qt.Assert(t, w.ShouldTakeOver(10800*ms, 0, false, false), qt.IsTrue)
	qt.Assert(t, w.ShouldTakeOver(10800*ms, 0, true, false), qt.IsFalse)
}

// One renewal that is missing may just be late.
func TestOwnerWithoutALinkStaysWhileARenewalIsLate(t *testing.T) {
	w := watch(10*second, 10700*ms)
	qt.Assert(t, w.ShouldTakeOver(10*second+2*tenure.RenewalInterval, 0, false, false), qt.IsFalse)
}

// Nobody could renew while the store was away.
func TestOutageOfTheStoreEndsNoTenure(t *testing.T) {
	w := watch(10*second, 10*second)
	qt.Assert(t, w.ShouldTakeOver(14*second, 0, true, false), qt.IsFalse)
	w = w.WithStoreReply(14 * second)
	qt.Assert(t, w.ShouldTakeOver(14*second, 0, true, false), qt.IsFalse)
	for at := 14 * second; at <= 17*second; at += 100 * ms {
		w = w.WithStoreReply(at)
	}
	qt.Assert(t, w.ShouldTakeOver(17*second, 0, true, false), qt.IsTrue)
}

func TestGivenUpCellIsTakenAtOnce(t *testing.T) {
	w := watch(10*second, 10*second).WithLease(10*second, "", 7)
	qt.Assert(t, w.ShouldTakeOver(10*second, 0, true, false), qt.IsTrue)
}

// A process that finds itself named as the owner is a later one.
func TestRestartedOwnerTakesTheCellAtOnce(t *testing.T) {
	qt.Assert(t, watch(10*second, 10*second).ShouldTakeOver(10*second, 2, true, true), qt.IsTrue)
}

func TestEarlierLeaseIsIgnored(t *testing.T) {
	w := watch(10*second, 10*second).WithLease(11*second, "b", 6)
	qt.Assert(t, w.Owner, qt.Equals, "a")
}

func TestStoreReturns(t *testing.T) {
	c := qt.New(t)
	first := tenure.LeaseState{}.WithStoreReply(second)
	c.Assert(first.StoreRecovered(tenure.LeaseState{}), qt.IsFalse)
	next := first.WithStoreReply(2 * second)
	c.Assert(next.StoreRecovered(first), qt.IsFalse)
	c.Assert(next.WithStoreReply(6*second).StoreRecovered(next), qt.IsTrue)
}

// All hosts miss the third announcement of an owner at the same moment, when its lease is
// older than the bound already: they take their turns from then on.
func TestHostsThatSeeAnOwnerGoAtOnceTakeTurns(t *testing.T) {
	c := qt.New(t)
	w := watch(10*second, 11500*ms).WithReachability(10*second, true, true).WithReachability(11500*ms, false, true)
	c.Assert(w.ShouldTakeOver(11500*ms, 0, false, false), qt.IsTrue)
	c.Assert(w.ShouldTakeOver(11500*ms, 2, false, false), qt.IsFalse)
	c.Assert(w.WithReachability(11600*ms, false, true).ShouldTakeOver(11740*ms, 2, false, false), qt.IsTrue)
}

// A start from nothing: all hosts get their first configuration at the same moment, long
// after the store answered.
func TestHostsThatStartAtOnceTakeTurns(t *testing.T) {
	c := qt.New(t)
	w := tenure.LeaseState{}.WithReachability(second, true, false).WithStoreReply(second).WithStoreReply(2*second).WithReachability(2*second, true, true)
	c.Assert(w.ShouldTakeOver(2*second, 0, true, false), qt.IsTrue)
	c.Assert(w.ShouldTakeOver(2*second, 3, true, false), qt.IsFalse)
	c.Assert(w.ShouldTakeOver(2400*ms, 3, true, false), qt.IsTrue)
}

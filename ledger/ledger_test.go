package ledger_test

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/ledger"
)

// fakeStore is an in-memory store that can lose answers.
type fakeStore struct {
	rows    map[string]ledger.Row
	version ledger.Version
	// lose reports for each commit whether its answer is lost and whether it is carried
	// out at once; if not, it is added to delayed.
	lose    func() (lost, carriedOut bool)
	delayed []ledger.Transaction
	// sizes holds the number of rows of each transaction.
	sizes []int
}

func newFakeStore() *fakeStore { return &fakeStore{rows: map[string]ledger.Row{}} }

func keyOf(r ledger.Row) string { return r.Table + "/" + r.Part + "/" + r.Key }

func (f *fakeStore) Commit(_ context.Context, t ledger.Transaction) (ledger.Version, error) {
	f.sizes = append(f.sizes, len(t.Expected)+len(t.Writes)+len(t.Removes))
	if f.lose == nil {
		return f.apply(t)
	}
	lost, carriedOut := f.lose()
	if !lost {
		return f.apply(t)
	}
	if carriedOut {
		_, _ = f.apply(t)
	} else {
		f.delayed = append(f.delayed, t)
	}
	return 0, errors.New("no answer")
}

func (f *fakeStore) apply(t ledger.Transaction) (ledger.Version, error) {
	var conflict []ledger.Row
	for _, e := range t.Expected {
		if f.rows[keyOf(e)].Version != e.Version {
			conflict = append(conflict, f.rows[keyOf(e)])
		}
	}
	if len(conflict) > 0 {
		return 0, &ledger.ConflictError{Rows: conflict}
	}
	f.version++
	for _, w := range t.Writes {
		w.Version = f.version
		f.rows[keyOf(w)] = w
	}
	for _, r := range t.Removes {
		delete(f.rows, keyOf(r))
	}
	return f.version, nil
}

func (f *fakeStore) Rows(_ context.Context, table, part, from string, _ int) (ledger.Page, error) {
	var page ledger.Page
	for _, r := range f.rows {
		if r.Table == table && r.Part == part && r.Key >= from {
			page.Rows = append(page.Rows, r)
		}
	}
	return page, nil
}

func (f *fakeStore) Feed(context.Context, string, ledger.Version, time.Duration) (ledger.Page, error) {
	return ledger.Page{}, ledger.ErrHistoryDropped
}

func (f *fakeStore) value(key string) string { return string(f.rows["T/C/"+key].Value) }

func write(key, value string) []ledger.Change {
	return []ledger.Change{{Writes: []ledger.Row{{Table: "T", Part: "C", Key: key, Value: []byte(value)}}}}
}

func acquire(t *testing.T, f *fakeStore, owner, earlier string) *ledger.Ledger {
	l, err := ledger.Acquire(context.Background(), f, "C", owner, owner+"-1", ledger.Lease{Owner: earlier, Fence: math.MaxInt64})
	qt.Assert(t, err, qt.IsNil)
	return l
}

func TestFormerOwnerCannotWrite(t *testing.T) {
	f := newFakeStore()
	first := acquire(t, f, "a", "")
	second := acquire(t, f, "b", "a")
	qt.Assert(t, second.Fence() > first.Fence(), qt.IsTrue)
	err := first.Append(context.Background(), write("k", "old"))
	qt.Assert(t, errors.Is(err, ledger.ErrNotOwner), qt.IsTrue)
	qt.Assert(t, second.Append(context.Background(), write("k", "new")), qt.IsNil)
	qt.Assert(t, f.value("k"), qt.Equals, "new")
}

// A host that has decided to acquire the cell from a dead owner must not acquire it from
// another host that was faster.
func TestAcquireOnlyFromExpectedOwner(t *testing.T) {
	f := newFakeStore()
	acquire(t, f, "a", "")
	acquire(t, f, "b", "a")
	_, err := ledger.Acquire(context.Background(), f, "C", "c", "c-1", ledger.Lease{Owner: "a", Fence: math.MaxInt64})
	qt.Assert(t, errors.Is(err, ledger.ErrNotOwner), qt.IsTrue)
}

// The process of an owner ends, and its successor on the same host acquires the cell at
// once. A host that has decided to acquire the cell from the first process must not
// acquire it from the second, or the cell would change hands twice.
func TestAcquireOnlyFromExpectedTenure(t *testing.T) {
	f := newFakeStore()
	first := acquire(t, f, "a", "")
	earlier := ledger.Lease{Owner: "a", Fence: first.Fence()}
	second, err := ledger.Acquire(context.Background(), f, "C", "a", "a-2", earlier)
	qt.Assert(t, err, qt.IsNil)
	_, err = ledger.Acquire(context.Background(), f, "C", "b", "b-1", earlier)
	qt.Assert(t, errors.Is(err, ledger.ErrNotOwner), qt.IsTrue)
	qt.Assert(t, second.Append(context.Background(), write("k", "1")), qt.IsNil)
	_, err = ledger.Acquire(context.Background(), f, "C", "b", "b-1", ledger.Lease{Owner: "a", Fence: second.Fence()})
	qt.Assert(t, err, qt.IsNil)
}

func TestLostAnswersAreResolved(t *testing.T) {
	for _, carriedOut := range []bool{true, false} {
		f := newFakeStore()
		l := acquire(t, f, "a", "")
		losses := 1
		f.lose = func() (bool, bool) {
			losses--
			return losses >= 0, carriedOut
		}
		qt.Assert(t, l.Append(context.Background(), write("k", "1")), qt.IsNil)
		qt.Assert(t, l.Append(context.Background(), write("k", "2")), qt.IsNil)
		// A transaction that the store carries out late must fail on its condition.
		for _, late := range f.delayed {
			_, _ = f.apply(late)
		}
		qt.Assert(t, f.value("k"), qt.Equals, "2")
	}
}

func TestLargeBatchesAreSplit(t *testing.T) {
	f := newFakeStore()
	l := acquire(t, f, "a", "")
	var changes []ledger.Change
	for i := range 250 {
		changes = append(changes, write(fmt.Sprint(i), "v")...)
	}
	qt.Assert(t, l.Append(context.Background(), changes), qt.IsNil)
	for _, size := range f.sizes {
		qt.Assert(t, size <= 100, qt.IsTrue, qt.Commentf("%d rows", size))
	}
	qt.Assert(t, f.value("249"), qt.Equals, "v")
}

func TestResignRecordsAndReleases(t *testing.T) {
	f := newFakeStore()
	l := acquire(t, f, "a", "")
	var changes []ledger.Change
	for i := range 150 {
		changes = append(changes, write(fmt.Sprint(i), "v")...)
	}
	qt.Assert(t, l.Resign(context.Background(), changes), qt.IsNil)
	qt.Assert(t, f.value("149"), qt.Equals, "v")
	acquire(t, f, "b", "somebody")
}

// A backlog for a slow store takes several transactions. Each of them must show that the
// store still records for this owner, before all of them have ended.
func TestLastCommitAdvancesWithEachTransaction(t *testing.T) {
	c := qt.New(t)
	store := newFakeStore()
	l, err := ledger.Acquire(context.Background(), store, "cell", "a", "1", ledger.Lease{})
	c.Assert(err, qt.IsNil)
	var commits []time.Duration
	store.lose = func() (lost, carriedOut bool) {
		commits = append(commits, l.LastCommit())
		time.Sleep(2 * time.Millisecond)
		return false, false
	}
	var changes []ledger.Change
	for n := range 250 {
		changes = append(changes, ledger.Change{Writes: []ledger.Row{{Table: "job", Part: "cell", Key: fmt.Sprint(n)}}})
	}
	c.Assert(l.Append(context.Background(), changes), qt.IsNil)
	c.Assert(commits, qt.HasLen, 3)
	c.Assert(commits[0] > 0, qt.IsTrue)
	c.Assert(commits[1] > commits[0], qt.IsTrue)
	c.Assert(commits[2] > commits[1], qt.IsTrue)
	c.Assert(l.LastCommit() > commits[2], qt.IsTrue)
}

// The answer to a transaction is delayed, or the process is suspended while it is on its way.
// What an owner may do counts from when it sent the transaction: another host may have taken
// the cell right after, and counts on it that the leases of this one have ended (TWICE).
func TestOwnershipCountsFromTheSendingOfATransaction(t *testing.T) {
	c := qt.New(t)
	store := newFakeStore()
	l, err := ledger.Acquire(context.Background(), store, "cell", "a", "1", ledger.Lease{})
	c.Assert(err, qt.IsNil)
	const delay = 50 * time.Millisecond
	var sent []time.Duration
	store.lose = func() (lost, carriedOut bool) {
		sent = append(sent, clock.Now())
		time.Sleep(delay)
		return len(sent) == 1, true
	}
	begun := clock.Now()
	c.Assert(l.Append(context.Background(), nil), qt.IsNil)
	c.Assert(l.OwnedAt() >= begun, qt.IsTrue)
	c.Assert(l.OwnedAt() <= sent[0], qt.IsTrue, qt.Commentf("counted %s from the sending", l.OwnedAt()-sent[0]))
	c.Assert(l.LastCommit() >= sent[0]+delay, qt.IsTrue)
}

package ledger_test

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/ledger"
)

// strictStore rejects transactions with a value of more than 8 bytes in the table T.
type strictStore struct{ *fakeStore }

func (s strictStore) Commit(ctx context.Context, t ledger.Transaction) (ledger.Version, error) {
	for _, r := range t.Writes {
		if r.Table == "T" && len(r.Value) > 8 {
			return 0, ledger.ErrRejected
		}
	}
	return s.fakeStore.Commit(ctx, t)
}

// mixedChanges returns changes of which some have a value that the store rejects.
func mixedChanges(n int, tooLong func(i int) bool) (changes []ledger.Change) {
	for i := range n {
		value := "short"
		if tooLong(i) {
			value = "too long a value"
		}
		changes = append(changes, write(fmt.Sprint(i), value)...)
	}
	return changes
}

// The store rejects some rows of a transaction. All others are recorded, the rejected ones are
// named, and the owner keeps the cell (LOST, review/1).
func TestRejectedChangesAreSetApart(t *testing.T) {
	for name, record := range map[string]func(l *ledger.Ledger, changes []ledger.Change) error{
		"Append": func(l *ledger.Ledger, changes []ledger.Change) error { return l.Append(context.Background(), changes) },
		"Resign": func(l *ledger.Ledger, changes []ledger.Change) error { return l.Resign(context.Background(), changes) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFakeStore()
			l, err := ledger.Acquire(context.Background(), strictStore{f}, "C", "a", "a-1", ledger.Lease{})
			c.Assert(err, qt.IsNil)
			tooLong := func(i int) bool { return i%50 == 7 }
			err = record(l, mixedChanges(250, tooLong))
			var rejected *ledger.RejectedError
			c.Assert(errors.As(err, &rejected), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(rejected.Changes, qt.HasLen, 5)
			for i := range 250 {
				c.Assert(f.value(fmt.Sprint(i)) == "short", qt.Equals, !tooLong(i), qt.Commentf("row %d", i))
			}
			if name == "Append" {
				c.Assert(l.Append(context.Background(), write("after", "later")), qt.IsNil)
				return
			}
			// The cell is released.
			_, err = ledger.Acquire(context.Background(), f, "C", "b", "b-1", ledger.Lease{})
			c.Assert(err, qt.IsNil)
		})
	}
}

// rejectingStore rejects every transaction.
type rejectingStore struct{ *fakeStore }

func (rejectingStore) Commit(context.Context, ledger.Transaction) (ledger.Version, error) {
	return 0, ledger.ErrRejected
}

// A store that rejects renewals as well gives no reason to set changes apart: the tenure ends.
func TestOwnerWhoseRenewalsAreRejectedLosesTheCell(t *testing.T) {
	c := qt.New(t)
	_, err := ledger.Acquire(context.Background(), rejectingStore{newFakeStore()}, "C", "a", "a-1", ledger.Lease{})
	c.Assert(errors.Is(err, ledger.ErrRejected), qt.IsTrue)
}

package wal_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/wal"
)

// TestResumedOwnerKeepsSuccessorsSnapshot pauses an owner between storing its snapshot
// and removing the data that this replaces. Its successor stores a snapshot in the
// meantime, of which the resumed owner must remove nothing.
func TestResumedOwnerKeepsSuccessorsSnapshot(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	s := newStore()
	store := wal.Store{Table: s, Objects: s}
	noWait := func(context.Context) error { return nil }
	entries := []record.Entry{entry(record.Accept, "a"), entry(record.Accept, "b")}
	first, _, err := wal.Open(ctx, store, "centro-000", "e1", 1)
	c.Assert(err, qt.IsNil)
	c.Assert(first.Append(ctx, entries[:1]), qt.IsNil)
	calls := 0
	paused := func(context.Context) error {
		// The first call is for the single row of the snapshot.
		if calls++; calls != 2 {
			return nil
		}
		next, _, err := wal.Open(ctx, store, "centro-000", "e2", 2)
		c.Assert(err, qt.IsNil)
		c.Assert(next.Append(ctx, entries[1:]), qt.IsNil)
		_, err = next.Compact(ctx, 4, entries, noWait)
		return err
	}
	_, err = first.Compact(ctx, 2, entries[:1], paused)
	c.Assert(err, qt.IsNil)
	c.Assert(calls >= 2, qt.IsTrue)
	_, found, err := wal.Open(ctx, store, "centro-000", "e3", 3)
	c.Assert(err, qt.IsNil)
	c.Assert(found, qt.DeepEquals, entries)
}

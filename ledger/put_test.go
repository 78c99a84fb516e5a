package ledger_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/ledger"
)

// A writer is suspended between its reading and its writing of the status of a wave, and its
// successor writes that the wave is done. The woken writer must not take that back (MIXED).
func TestWokenWriterDoesNotReplaceAFinalRow(t *testing.T) {
	c := qt.New(t)
	f := newFakeStore()
	row := func(value string) ledger.Row {
		return ledger.Row{Table: "T", Part: "C", Key: "k", Value: []byte(value)}
	}
	put := func(store ledger.Store, value string) bool {
		return ledger.PutUnlessFinal(context.Background(), store, row(value), time.Millisecond, func(v []byte) bool { return string(v) == "done" })
	}
	c.Assert(put(f, "running"), qt.IsTrue)
	c.Assert(put(f, "still running"), qt.IsTrue)
	c.Assert(f.value("k"), qt.Equals, "still running")
	suspended := &overtakenStore{fakeStore: f, overtake: func() { c.Assert(put(f, "done"), qt.IsTrue) }}
	c.Assert(put(suspended, "running"), qt.IsTrue)
	c.Assert(f.value("k"), qt.Equals, "done")
	c.Assert(put(f, "running"), qt.IsTrue)
	c.Assert(f.value("k"), qt.Equals, "done")
}

// overtakenStore lets another writer go first at the first transaction.
type overtakenStore struct {
	*fakeStore
	overtake func()
}

func (s *overtakenStore) Commit(ctx context.Context, t ledger.Transaction) (ledger.Version, error) {
	if overtake := s.overtake; overtake != nil {
		s.overtake = nil
		overtake()
	}
	return s.fakeStore.Commit(ctx, t)
}

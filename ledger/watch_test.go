package ledger_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/ledger"
)

// silentStore loses the first call for changes: it gets no answer until it is given up.
type silentStore struct {
	fakeStore
	// asked is told of each call for changes.
	asked chan struct{}
	lost  bool
}

// Rows implements ledger.Store.
func (s *silentStore) Rows(context.Context, string, string, string, int) (ledger.Page, error) {
	return ledger.Page{Version: 1}, nil
}

// Feed implements ledger.Store.
func (s *silentStore) Feed(ctx context.Context, table string, after ledger.Version, _ time.Duration) (ledger.Page, error) {
	s.asked <- struct{}{}
	if !s.lost {
		s.lost = true
		<-ctx.Done()
		return ledger.Page{}, ctx.Err()
	}
	if after == 1 {
		return ledger.Page{Rows: []ledger.Row{{Table: table, Key: "k", Version: 2}}, Version: 2}, nil
	}
	<-ctx.Done()
	return ledger.Page{}, ctx.Err()
}

// A call for changes that is sent while the store is silent gets no answer for as long as
// it may wait for a change. Once the store is known to be back it is made again.
func TestLostCallForChangesIsMadeAgain(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	store := &silentStore{asked: make(chan struct{}, 10)}
	again, changed, ended := make(chan struct{}, 1), make(chan ledger.Row, 1), make(chan struct{})
	go func() {
		defer close(ended)
		ledger.Watch{
			Store: store, Table: "t", Again: again,
			Change: func(r ledger.Row) { changed <- r },
			Failed: func(err error) { c.Check(err, qt.IsNil) },
		}.Run(ctx)
	}()
	<-store.asked
	again <- struct{}{}
	select {
	case r := <-changed:
		c.Assert(r.Key, qt.Equals, "k")
	case <-time.After(5 * time.Second):
		c.Fatal("the call was not made again")
	}
	cancel()
	<-ended
}

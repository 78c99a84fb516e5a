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
			Store: store, Table: "t", Reissue: again,
			OnChange: func(r ledger.Row) { changed <- r },
			OnError:  func(err error) { c.Check(err, qt.IsNil) },
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

// forgetfulStore drops its history, and a row that is written meanwhile is neither in the list nor
// told by the feed after it.
type forgetfulStore struct {
	fakeStore
	lists, feeds int
}

// Rows implements ledger.Store.
func (s *forgetfulStore) Rows(_ context.Context, table, _, _ string, _ int) (ledger.Page, error) {
	s.lists++
	page := ledger.Page{Version: 10}
	if s.lists > 2 {
		page.Rows = []ledger.Row{{Table: table, Key: "k", Version: 9}}
	}
	return page, nil
}

// Feed implements ledger.Store.
func (s *forgetfulStore) Feed(ctx context.Context, _ string, after ledger.Version, wait time.Duration) (ledger.Page, error) {
	s.feeds++
	if s.feeds == 1 {
		return ledger.Page{}, ledger.ErrHistoryDropped
	}
	select {
	case <-ctx.Done():
		return ledger.Page{}, ctx.Err()
	case <-time.After(wait):
		return ledger.Page{Version: after}, nil
	}
}

// The store drops its history while the configuration changes: a host that listed it at that
// moment must not stay with the earlier version until its feed ends, 15 s later.
func TestListAfterLostHistoryIsConfirmed(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	changed, ended := make(chan ledger.Row, 10), make(chan struct{})
	go func() {
		defer close(ended)
		ledger.Watch{Store: &forgetfulStore{}, Table: "t", OnChange: func(r ledger.Row) { changed <- r }}.Run(ctx)
	}()
	select {
	case r := <-changed:
		qt.Check(t, r.Key, qt.Equals, "k")
	case <-time.After(5 * time.Second):
		t.Error("the change was not seen")
	}
	cancel()
	<-ended
}

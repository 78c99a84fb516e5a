package ledger_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/ledger"
)

// lostFeedStore loses the first feed call, which is not answered until it is cancelled.
type lostFeedStore struct {
	fakeStore
	// feedCalls receives a value for each feed call.
	feedCalls chan struct{}
	lost      bool
}

// Rows implements ledger.Store.
func (s *lostFeedStore) Rows(context.Context, string, string, string, int) (ledger.Page, error) {
	return ledger.Page{Version: 1}, nil
}

// Feed implements ledger.Store.
func (s *lostFeedStore) Feed(ctx context.Context, table string, after ledger.Version, _ time.Duration) (ledger.Page, error) {
	s.feedCalls <- struct{}{}
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

// A feed call that is sent while the store does not answer stays unanswered for as long
// as it may wait for a change. Once the store is known to be reachable again, the call
// must be made again.
func TestLostFeedCallIsReissued(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	store := &lostFeedStore{feedCalls: make(chan struct{}, 10)}
	reissue, changed, ended := make(chan struct{}, 1), make(chan ledger.Row, 1), make(chan struct{})
	go func() {
		defer close(ended)
		ledger.Watch{
			Store: store, Table: "t", Reissue: reissue,
			OnChange: func(r ledger.Row) { changed <- r },
			OnError:  func(err error) { c.Check(err, qt.IsNil) },
		}.Run(ctx)
	}()
	<-store.feedCalls
	reissue <- struct{}{}
	select {
	case r := <-changed:
		c.Assert(r.Key, qt.Equals, "k")
	case <-time.After(5 * time.Second):
		c.Fatal("the feed call was not reissued")
	}
	cancel()
	<-ended
}

// A version of a large row takes its time on a slow link. A request that arrived before its read
// began must not make the watch read it once more.
func TestReissueFromBeforeCallHasNoEffect(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	store := &lostFeedStore{feedCalls: make(chan struct{}, 10)}
	reissue := make(chan struct{}, 1)
	reissue <- struct{}{}
	ledger.Watch{Store: store, Table: "t", Reissue: reissue, OnChange: func(ledger.Row) {}}.Run(ctx)
	qt.Assert(t, store.feedCalls, qt.HasLen, 1)
	qt.Assert(t, reissue, qt.HasLen, 0)
}

// droppedHistoryStore drops its history. A row that is written meanwhile is neither in
// the next list nor in the feed after it.
type droppedHistoryStore struct {
	fakeStore
	lists, feeds int
}

// Rows implements ledger.Store.
func (s *droppedHistoryStore) Rows(_ context.Context, table, _, _ string, _ int) (ledger.Page, error) {
	s.lists++
	page := ledger.Page{Version: 10}
	if s.lists > 2 {
		page.Rows = []ledger.Row{{Table: table, Key: "k", Version: 9}}
	}
	return page, nil
}

// Feed implements ledger.Store.
func (s *droppedHistoryStore) Feed(ctx context.Context, _ string, after ledger.Version, wait time.Duration) (ledger.Page, error) {
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

// The store drops its history while the configuration changes. A host that lists it at
// that moment must not keep the earlier version until its feed call ends, 15 s later.
func TestListAfterDroppedHistoryIsRepeated(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	changed, ended := make(chan ledger.Row, 10), make(chan struct{})
	go func() {
		defer close(ended)
		ledger.Watch{Store: &droppedHistoryStore{}, Table: "t", OnChange: func(r ledger.Row) { changed <- r }}.Run(ctx)
	}()
	select {
	case r := <-changed:
		qt.Check(t, r.Key, qt.Equals, "k")
	case <-time.After(5 * time.Second):
		t.Error("the change was not reported")
	}
	cancel()
	<-ended
}

// unreadableFeedStore has lists, and no feed call succeeds.
type unreadableFeedStore struct {
	fakeStore
	lists atomic.Int64
}

// Rows implements ledger.Store.
func (s *unreadableFeedStore) Rows(context.Context, string, string, string, int) (ledger.Page, error) {
	return ledger.Page{Version: ledger.Version(s.lists.Add(1))}, nil
}

// Feed implements ledger.Store.
func (s *unreadableFeedStore) Feed(context.Context, string, ledger.Version, time.Duration) (ledger.Page, error) {
	return ledger.Page{}, ledger.ErrHistoryDropped
}

// The feed from each list can't be read. The watch must list again and again, and not without
// a pause.
func TestWatchWithoutFeedDoesNotSpin(t *testing.T) {
	store := &unreadableFeedStore{}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	ledger.Watch{Store: store, Table: "t", OnChange: func(ledger.Row) {}}.Run(ctx)
	n := store.lists.Load()
	qt.Assert(t, n >= 3 && n <= 6, qt.IsTrue, qt.Commentf("%d lists in a second", n))
}

// interruptedStore interrupts the first feed call. Feeds return all versions of a row since
// then, lists the newest.
type interruptedStore struct {
	fakeStore
	lists, feeds atomic.Int64
}

// Rows implements ledger.Store.
func (s *interruptedStore) Rows(_ context.Context, table, _, _ string, _ int) (ledger.Page, error) {
	if s.lists.Add(1) == 1 {
		return ledger.Page{Version: 1}, nil
	}
	return ledger.Page{Rows: []ledger.Row{{Table: table, Key: "k", Version: 9}}, Version: 9}, nil
}

// Feed implements ledger.Store.
func (s *interruptedStore) Feed(ctx context.Context, table string, after ledger.Version, _ time.Duration) (ledger.Page, error) {
	if s.feeds.Add(1) == 1 {
		return ledger.Page{}, ledger.ErrUnavailable
	}
	if after >= 9 {
		<-ctx.Done()
		return ledger.Page{}, ctx.Err()
	}
	page := ledger.Page{Version: 9}
	for v := after + 1; v <= 9; v++ {
		page.Rows = append(page.Rows, ledger.Row{Table: table, Key: "k", Version: v})
	}
	return page, nil
}

// A host that was cut off must not read and apply each version of a large row in turn over a
// small link: the last one would be in force too late (CONFIG).
func TestInterruptedWatchSkipsEarlierVersions(t *testing.T) {
	for _, listAfterGap := range []bool{true, false} {
		t.Run(fmt.Sprint(listAfterGap), func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			store := &interruptedStore{}
			var versions []ledger.Version
			ledger.Watch{Store: store, Table: "t", ListAfterGap: listAfterGap, OnChange: func(r ledger.Row) {
				versions = append(versions, r.Version)
				cancel()
			}}.Run(ctx)
			c.Assert(versions, qt.DeepEquals, []ledger.Version{9})
			c.Assert(store.lists.Load(), qt.Equals, map[bool]int64{true: 2, false: 1}[listAfterGap])
		})
	}
}

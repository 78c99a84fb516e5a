package ledger_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/ledger"
)

// historyStore has one row. Feeds return each version of it, lists the newest.
type historyStore struct {
	fakeStore
	mu    sync.Mutex
	newer chan struct{}
	value []byte
	last  ledger.Version
	// reads is how many versions have been read; failLists is how many lists fail.
	reads, failLists int
}

func newHistoryStore(size int) *historyStore {
	return &historyStore{newer: make(chan struct{}), value: make([]byte, size)}
}

// write writes a version of the row.
func (s *historyStore) write() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	close(s.newer)
	s.newer = make(chan struct{})
}

func (s *historyStore) row(table string, v ledger.Version) ledger.Row {
	return ledger.Row{Table: table, Key: "k", Value: s.value, Version: v}
}

// Rows implements ledger.Store.
func (s *historyStore) Rows(_ context.Context, table, _, _ string, _ int) (ledger.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last == 0 {
		return ledger.Page{}, nil
	}
	if s.failLists > 0 {
		s.failLists--
		return ledger.Page{}, ledger.ErrUnavailable
	}
	s.reads++
	return ledger.Page{Rows: []ledger.Row{s.row(table, s.last)}, Version: s.last}, nil
}

// Feed implements ledger.Store.
func (s *historyStore) Feed(ctx context.Context, table string, after ledger.Version, wait time.Duration) (ledger.Page, error) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		page, newer := ledger.Page{Version: s.last}, s.newer
		for v := after + 1; v <= s.last; v++ {
			page.Rows = append(page.Rows, s.row(table, v))
		}
		s.reads += len(page.Rows)
		s.mu.Unlock()
		if len(page.Rows) > 0 {
			return page, nil
		}
		select {
		case <-newer:
		case <-end:
			return page, nil
		case <-ctx.Done():
			return ledger.Page{}, ctx.Err()
		}
	}
}

// watchWrites watches a row with the given pause after large rows, writes versions of it 300 ms
// apart, and returns the versions that were reported, and when each version was in force after it
// was written at the latest.
func watchWrites(s *historyStore, pause time.Duration, writes int) (reported []ledger.Version, latest time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	written := map[ledger.Version]time.Time{}
	var mu sync.Mutex
	go ledger.Watch{Store: s, Table: "t", LargeRowPause: pause, ListAfterGap: true, OnChange: func(r ledger.Row) {
		mu.Lock()
		defer mu.Unlock()
		if len(reported) > 0 && reported[len(reported)-1] == r.Version {
			return
		}
		reported = append(reported, r.Version)
		for v, at := range written {
			if v <= r.Version {
				latest = max(latest, time.Since(at))
				delete(written, v)
			}
		}
	}}.Run(ctx)
	time.Sleep(time.Second)
	for i := range writes {
		mu.Lock()
		written[ledger.Version(i+1)] = time.Now()
		mu.Unlock()
		s.write()
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	return reported, latest
}

// All hosts read each version of a large row that a feed returns, so that the links between
// regions are busy with them when versions come in quick succession (TWICE).
func TestWatchReadsNewestVersionOfLargeRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newHistoryStore(64 << 10)
		reported, latest := watchWrites(s, 1500*time.Millisecond, 40)
		c.Check(reported[0], qt.Equals, ledger.Version(1))
		c.Check(reported[len(reported)-1], qt.Equals, ledger.Version(40))
		for i, v := range reported[1:] {
			c.Check(v > reported[i], qt.IsTrue, qt.Commentf("%v", reported))
		}
		c.Check(s.reads <= 15, qt.IsTrue, qt.Commentf("%d reads", s.reads))
		c.Check(latest <= 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", latest))
	})
}

// A slow link may be too slow for a list of a large row, each time. The newest version must be
// read by a feed then, soon and without listing for ever (CONFIG).
func TestWatchReadsLargeRowByFeedIfItCannotBeListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const failures = 1000
		s := newHistoryStore(64 << 10)
		s.failLists = failures
		reported, latest := watchWrites(s, 1500*time.Millisecond, 12)
		c.Check(reported[len(reported)-1], qt.Equals, ledger.Version(12))
		c.Check(latest <= 1800*time.Millisecond, qt.IsTrue, qt.Commentf("%s", latest))
		c.Check(failures-s.failLists <= 5, qt.IsTrue, qt.Commentf("%d lists", failures-s.failLists))
	})
}

// The same for a list that follows a feed call that was made again (CONFIG).
func TestWatchReadsByFeedIfListAfterReissueFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, reissue, read := newHistoryStore(64<<10), make(chan struct{}, 1), make(chan ledger.Version, 10)
		s.write()
		go ledger.Watch{Store: s, Table: "t", ListAfterGap: true, Reissue: reissue, OnChange: func(r ledger.Row) { read <- r.Version }}.Run(ctx)
		qt.Assert(t, <-read, qt.Equals, ledger.Version(1))
		time.Sleep(time.Second)
		s.mu.Lock()
		s.failLists = 1000
		s.mu.Unlock()
		reissue <- struct{}{}
		synctest.Wait()
		s.write()
		begun := time.Now()
		qt.Assert(t, <-read, qt.Equals, ledger.Version(2))
		qt.Assert(t, time.Since(begun) <= time.Second, qt.IsTrue)
		cancel()
	})
}

// Small rows are cheap to read, and their changes must not wait.
func TestWatchReportsSmallRowsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newHistoryStore(8 << 10)
		reported, latest := watchWrites(s, 1500*time.Millisecond, 10)
		c.Check(reported, qt.HasLen, 10)
		c.Check(latest, qt.Equals, time.Duration(0))
	})
}

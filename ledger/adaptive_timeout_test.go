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

// slowStore delays each call, and loses some answers to transactions.
type slowStore struct {
	*fakeStore
	delay time.Duration
	lost  func(n int) bool
	calls int
	mu    sync.Mutex
}

func (s *slowStore) Rows(ctx context.Context, table, part, from string, limit int) (ledger.Page, error) {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return ledger.Page{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fakeStore.Rows(ctx, table, part, from, limit)
}

func (s *slowStore) Commit(ctx context.Context, t ledger.Transaction) (ledger.Version, error) {
	s.mu.Lock()
	s.calls++
	lost, delay := s.lost != nil && s.lost(s.calls), s.delay
	s.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		// The store carries out the transaction nevertheless.
		s.mu.Lock()
		defer s.mu.Unlock()
		_, _ = s.apply(t)
		return 0, ctx.Err()
	}
	s.mu.Lock()
	version, err := s.apply(t)
	s.mu.Unlock()
	if lost {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return version, err
}

// set changes the behaviour of the store.
func (s *slowStore) set(delay time.Duration, lost func(n int) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay, s.lost = delay, lost
}

// A third of the answers are lost. An owner that waited 1.5 s for each of them would
// refuse jobs meanwhile, and other hosts would assume that the store no longer serves it.
func TestLostAnswerIsDetectedQuickly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowStore{fakeStore: newFakeStore(), delay: 10 * time.Millisecond}
		l := acquireFrom(t, s)
		s.set(10*time.Millisecond, func(n int) bool { return n%3 == 0 })
		longest := time.Duration(0)
		for range 20 {
			start := time.Now()
			qt.Assert(t, l.Append(t.Context(), write("k", "1")), qt.IsNil)
			longest = max(longest, time.Since(start))
		}
		qt.Check(t, longest < 300*time.Millisecond, qt.IsTrue, qt.Commentf("%v", longest))
	})
}

// The store becomes 60 times slower. It must get no transaction twice; once it is fast
// again, a lost answer must be detected as quickly as before.
func TestSlowStoreGetsNoDuplicateTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowStore{fakeStore: newFakeStore(), delay: 10 * time.Millisecond}
		l := acquireFrom(t, s)
		s.set(600*time.Millisecond, nil)
		before := s.calls
		for range 10 {
			qt.Assert(t, l.Append(t.Context(), write("k", "1")), qt.IsNil)
		}
		qt.Check(t, s.calls-before, qt.Equals, 10)
		s.set(10*time.Millisecond, nil)
		for range 10 {
			qt.Assert(t, l.Append(t.Context(), write("k", "1")), qt.IsNil)
		}
		s.set(10*time.Millisecond, func(n int) bool { return true })
		start := time.Now()
		go func() {
			time.Sleep(50 * time.Millisecond)
			s.set(10*time.Millisecond, nil)
		}()
		qt.Assert(t, l.Append(t.Context(), write("k", "2")), qt.IsNil)
		qt.Check(t, time.Since(start) < 300*time.Millisecond, qt.IsTrue)
	})
}

// The store is silent for some seconds: calls that it gets meanwhile are never answered. Its
// return must be noticed at once, not when the call in flight times out: all new jobs are
// refused until then.
func TestReturnOfSilentStoreIsNoticedQuickly(t *testing.T) {
	for outage := 2 * time.Second; outage < 5*time.Second; outage += 300 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			const silence = time.Hour
			s := &slowStore{fakeStore: newFakeStore(), delay: 10 * time.Millisecond}
			l := acquireFrom(t, s)
			s.set(silence, nil)
			back := time.Now().Add(outage)
			time.AfterFunc(outage, func() { s.set(10*time.Millisecond, nil) })
			qt.Assert(t, l.Append(t.Context(), write("k", "1")), qt.IsNil)
			qt.Check(t, time.Since(back) < 500*time.Millisecond, qt.IsTrue, qt.Commentf("noticed after %v", time.Since(back)))
		})
	}
}

func acquireFrom(t *testing.T, s ledger.Store) *ledger.Ledger {
	l, err := ledger.Acquire(t.Context(), s, "C", "a", "i", ledger.Lease{})
	qt.Assert(t, err, qt.IsNil)
	return l
}

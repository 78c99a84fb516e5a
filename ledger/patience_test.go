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

// pacedStore takes some time for each transaction, and some of its answers never come.
type pacedStore struct {
	*fakeStore
	pace  time.Duration
	lost  func(n int) bool
	calls int
	mu    sync.Mutex
}

func (s *pacedStore) Rows(ctx context.Context, table, part, from string, limit int) (ledger.Page, error) {
	s.mu.Lock()
	pace := s.pace
	s.mu.Unlock()
	select {
	case <-time.After(pace):
	case <-ctx.Done():
		return ledger.Page{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fakeStore.Rows(ctx, table, part, from, limit)
}

func (s *pacedStore) Commit(ctx context.Context, t ledger.Transaction) (ledger.Version, error) {
	s.mu.Lock()
	s.calls++
	lost, pace := s.lost != nil && s.lost(s.calls), s.pace
	s.mu.Unlock()
	select {
	case <-time.After(pace):
	case <-ctx.Done():
		// The store carries out what it was sent all the same.
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

// set changes how the store behaves.
func (s *pacedStore) set(pace time.Duration, lost func(n int) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace, s.lost = pace, lost
}

// A third of the answers are lost. An owner that waited 1.5 s for each refuses jobs
// meanwhile, and is taken for one that the store refuses.
func TestLostAnswerCostsLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &pacedStore{fakeStore: newFakeStore(), pace: 10 * time.Millisecond}
		l := takeFrom(t, s)
		s.set(10*time.Millisecond, func(n int) bool { return n%3 == 0 })
		longest := time.Duration(0)
		for range 20 {
			begun := time.Now()
			qt.Assert(t, l.Append(t.Context(), write("k", "1")), qt.IsNil)
			longest = max(longest, time.Since(begun))
		}
		qt.Check(t, longest < 300*time.Millisecond, qt.IsTrue, qt.Commentf("%v", longest))
	})
}

// The store becomes 60 times slower. It is not sent anything twice, and once it is as
// fast as before, a lost answer costs as little.
func TestSlowStoreIsNotSentCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &pacedStore{fakeStore: newFakeStore(), pace: 10 * time.Millisecond}
		l := takeFrom(t, s)
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
		begun := time.Now()
		go func() {
			time.Sleep(50 * time.Millisecond)
			s.set(10*time.Millisecond, nil)
		}()
		qt.Assert(t, l.Append(t.Context(), write("k", "2")), qt.IsNil)
		qt.Check(t, time.Since(begun) < 300*time.Millisecond, qt.IsTrue)
	})
}

func takeFrom(t *testing.T, s ledger.Store) *ledger.Ledger {
	l, err := ledger.Acquire(t.Context(), s, "C", "a", "i", ledger.Lease{})
	qt.Assert(t, err, qt.IsNil)
	return l
}

package ledger_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/ledger"
)

// unresponsiveStore neither answers nor carries out transactions once unresponsive is
// set.
type unresponsiveStore struct {
	*slowStore
	unresponsive bool
}

func (s *unresponsiveStore) Commit(ctx context.Context, t ledger.Transaction) (ledger.Version, error) {
	if s.unresponsive {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return s.slowStore.Commit(ctx, t)
}

// A host acquires the cell from a slow store, and its deadline passes before the answer
// arrives. When it tries again, the head row of the first attempt must not count as that
// of the second.
func TestSecondAcquireIsNotMistakenForTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &unresponsiveStore{slowStore: &slowStore{fakeStore: newFakeStore(), delay: 2 * time.Second}}
		acquire := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			_, err := ledger.Acquire(ctx, s, "C", "a", "i", ledger.Lease{})
			return err
		}
		qt.Assert(t, acquire(), qt.IsNotNil)
		synctest.Wait()
		s.set(10*time.Millisecond, nil)
		s.unresponsive = true
		qt.Assert(t, acquire(), qt.IsNotNil)
	})
}

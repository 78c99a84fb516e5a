package ledger_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/ledger"
)

// deafStore answers no transaction and carries none out, once it is deaf.
type deafStore struct {
	*pacedStore
	deaf bool
}

func (s *deafStore) Commit(ctx context.Context, t ledger.Transaction) (ledger.Version, error) {
	if s.deaf {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return s.pacedStore.Commit(ctx, t)
}

// A host takes the cell from a slow store, and gives up before it hears that it has it. It
// tries again: the head row that the first try wrote must not count as that of the second.
func TestSecondTakeIsNotTakenForTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &deafStore{pacedStore: &pacedStore{fakeStore: newFakeStore(), pace: 2 * time.Second}}
		take := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			_, err := ledger.Acquire(ctx, s, "C", "a", "i", ledger.Lease{})
			return err
		}
		qt.Assert(t, take(), qt.IsNotNil)
		synctest.Wait()
		s.set(10*time.Millisecond, nil)
		s.deaf = true
		qt.Assert(t, take(), qt.IsNotNil)
	})
}

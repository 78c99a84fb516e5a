package ledger_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/ledger"
)

// refusingStore refuses transactions while refuses is set.
type refusingStore struct {
	*fakeStore
	refuses func() bool
}

func (s refusingStore) Commit(ctx context.Context, t ledger.Transaction) (ledger.Version, error) {
	if s.refuses() {
		return 0, ledger.ErrUnavailable
	}
	return s.fakeStore.Commit(ctx, t)
}

// The store turns the owner's host away and serves the others. The owner must notice by the first
// refusals, as the cell stands still until another host takes it, and forget them when the store
// serves it again.
func TestRefusalsOfTheStoreAreNoticed(t *testing.T) {
	c := qt.New(t)
	tries, noticed := 0, time.Duration(0)
	var l *ledger.Ledger
	s := refusingStore{newFakeStore(), func() bool {
		if l == nil || tries == 3 {
			return false
		}
		tries++
		if since, refused := l.RefusedSince(); refused {
			noticed = since
		}
		return true
	}}
	l, err := ledger.Acquire(context.Background(), s, "C", "a", "a-1", ledger.Lease{})
	c.Assert(err, qt.IsNil)
	c.Assert(l.Append(context.Background(), write("k", "v")), qt.IsNil)
	c.Assert(tries, qt.Equals, 3)
	c.Assert(noticed > 0, qt.IsTrue)
	_, refused := l.RefusedSince()
	c.Assert(refused, qt.IsFalse)
}

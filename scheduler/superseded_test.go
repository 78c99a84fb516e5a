package scheduler_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/workload"
)

// assertEnds checks that a tenure ends because another owner has the cell.
func assertEnds(c *qt.C, ended <-chan error) {
	c.Helper()
	select {
	case err := <-ended:
		c.Assert(errors.Is(err, ledger.ErrNotOwner), qt.IsTrue, qt.Commentf("%v", err))
	case <-time.After(5 * time.Second):
		c.Fatal("the tenure goes on")
	}
}

// An owner that can't reach the store hears of its successor from another host. Its tenure
// must end then; its transaction may hang for as long as it is cut off.
func TestSupersededOwnerEndsItsTenureDuringATransaction(t *testing.T) {
	c := qt.New(t)
	store, replies := &heldStore{}, make(replyChannel, 10)
	o, ended := runOwner(c, store, replies)
	o.HandleCall("h", intake.Call{Number: 1, Verb: intake.Waiting, Queue: "q"})
	replies.next(c)
	store.hold()
	o.HandleCall("h", submission("a"))
	replies.assertNone(c, 100*time.Millisecond)
	o.Supersede()
	o.Supersede()
	assertEnds(c, ended)
	replies.assertNone(c, 0)
}

// An owner that is cut off from the store is asked to resign, as its host stops or hands the
// cell over, and then hears of its successor. Its tenure must end: until then its host keeps
// the calls of its callers to itself, and none is answered.
func TestSupersededOwnerEndsItsTenureWhileItResigns(t *testing.T) {
	c := qt.New(t)
	store, replies := &heldStore{}, make(replyChannel, 10)
	o, ended := runOwner(c, store, replies)
	o.HandleCall("h", intake.Call{Number: 1, Verb: intake.Waiting, Queue: "q"})
	replies.next(c)
	store.hold()
	o.Resign()
	time.Sleep(200 * time.Millisecond)
	o.Supersede()
	assertEnds(c, ended)
}

// hangingStore is a store whose lists hang until the context ends.
type hangingStore struct {
	emptyStore
	mu    sync.Mutex
	hangs bool
}

func (s *hangingStore) Rows(ctx context.Context, _, _, _ string, _ int) (ledger.Page, error) {
	s.mu.Lock()
	hangs := s.hangs
	s.mu.Unlock()
	if !hangs {
		return ledger.Page{}, nil
	}
	<-ctx.Done()
	return ledger.Page{}, ctx.Err()
}

// The same for an owner that hears of its successor while it reads the records of the cell.
func TestSupersededOwnerEndsItsTenureWhileItRecovers(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := &hangingStore{}
	l, err := ledger.Acquire(ctx, store, "C", "a", "i", ledger.Lease{})
	c.Assert(err, qt.IsNil)
	store.mu.Lock()
	store.hangs = true
	store.mu.Unlock()
	o := scheduler.New(scheduler.Options{StatusRetention: time.Minute}, l, store, &fakeWorkers{}, nil, make(replyChannel, 10), &scheduler.Counters{}, discardLog())
	ended := make(chan error, 1)
	go func() { ended <- o.Run(ctx, workload.Catalogue{Version: 1}) }()
	o.Supersede()
	assertEnds(c, ended)
}

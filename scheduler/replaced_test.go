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

// heldStore is an empty store that can hold transactions back, or reject them because
// another owner has the cell.
type heldStore struct {
	emptyStore
	mu sync.Mutex
	// held delays transactions until it is closed; nil delays none.
	held     chan struct{}
	replaced bool
}

// hold delays transactions until the returned function is called.
func (s *heldStore) hold() (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := make(chan struct{})
	s.held = held
	return func() { close(held) }
}

// replaceOwner makes all further transactions fail.
func (s *heldStore) replaceOwner() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaced = true
}

func (s *heldStore) Commit(ctx context.Context, t ledger.Transaction) (ledger.Version, error) {
	s.mu.Lock()
	held := s.held
	s.mu.Unlock()
	if held != nil {
		select {
		case <-held:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replaced {
		return 0, &ledger.ConflictError{}
	}
	return s.emptyStore.Commit(ctx, t)
}

// replyChannel passes on the replies of an owner.
type replyChannel chan intake.Reply

func (r replyChannel) AdviceHosts() []string                        { return nil }
func (r replyChannel) SendQuestion(string, scheduler.Question) bool { return false }
func (r replyChannel) Reply(_ string, a intake.Answer)              { r <- a.Reply }

// runOwner runs an owner on a store until the test ends. The channel receives the error of
// its tenure.
func runOwner(c *qt.C, store ledger.Store, replies replyChannel) (*scheduler.Owner, <-chan error) {
	ctx, cancel := context.WithCancel(context.Background())
	l, err := ledger.Acquire(ctx, store, "C", "a", "i", ledger.Lease{})
	c.Assert(err, qt.IsNil)
	o := scheduler.New(scheduler.Options{StatusRetention: time.Minute}, l, store, &fakeWorkers{}, nil, replies, &scheduler.Counters{}, discardLog())
	ended := make(chan error, 1)
	go func() { ended <- o.Run(ctx, workload.Catalogue{Version: 1}) }()
	c.Cleanup(cancel)
	return o, ended
}

// next returns the next reply.
func (r replyChannel) next(c *qt.C) intake.Reply {
	c.Helper()
	select {
	case reply := <-r:
		return reply
	case <-time.After(10 * time.Second):
		c.Fatal("no reply")
		return intake.Reply{}
	}
}

func (r replyChannel) assertNone(c *qt.C, wait time.Duration) {
	c.Helper()
	select {
	case reply := <-r:
		c.Fatalf("replied %+v", reply)
	case <-time.After(wait):
	}
}

// An owner that was paused or is cut off from the store has been replaced and doesn't know
// it yet. It must not say that a job is unknown: its successor may have accepted the job,
// which would run on after a cancellation that was acknowledged (UNASKED).
func TestReplacedOwnerDoesNotDenyJobs(t *testing.T) {
	for _, verb := range []intake.Verb{intake.Cancel, intake.State} {
		t.Run(string(verb), func(t *testing.T) {
			c := qt.New(t)
			store, replies := &heldStore{}, make(replyChannel, 10)
			o, ended := runOwner(c, store, replies)
			o.HandleCall("h", intake.Call{Number: 1, Verb: intake.Waiting, Queue: "q"})
			c.Assert(replies.next(c).Outcome, qt.Equals, intake.Counted)
			release := store.hold()
			store.replaceOwner()
			o.HandleCall("h", intake.Call{Number: 2, Verb: verb, Queue: "q", ID: "x"})
			replies.assertNone(c, 200*time.Millisecond)
			release()
			c.Assert(errors.Is(<-ended, ledger.ErrNotOwner), qt.IsTrue)
			replies.assertNone(c, 0)
		})
	}
}

// The owner of the cell confirms by a transaction that a job is unknown.
func TestOwnerDeniesUnknownJobs(t *testing.T) {
	c := qt.New(t)
	store, replies := &heldStore{}, make(replyChannel, 10)
	o, _ := runOwner(c, store, replies)
	for n, verb := range []intake.Verb{intake.Cancel, intake.State} {
		o.HandleCall("h", intake.Call{Number: uint64(n), Verb: verb, Queue: "q", ID: "x"})
		c.Assert(replies.next(c).Outcome, qt.Equals, intake.NotFound)
	}
}

package scheduler_test

import (
	"context"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/workload"
)

// emptyStore has no rows and accepts every transaction.
type emptyStore struct{}

func (emptyStore) Commit(context.Context, ledger.Transaction) (ledger.Version, error) { return 1, nil }

func (emptyStore) Rows(context.Context, string, string, string, int) (ledger.Page, error) {
	return ledger.Page{}, nil
}

func (emptyStore) Feed(context.Context, string, ledger.Version, time.Duration) (ledger.Page, error) {
	return ledger.Page{}, ledger.ErrHistoryDropped
}

// newOwnerWithQuestion returns an owner with a job whose advice question waits for a
// host.
func newOwnerWithQuestion(ctx context.Context, c *qt.C, now time.Duration) *scheduler.Owner {
	l, err := ledger.Acquire(ctx, emptyStore{}, "C", "a", "i", ledger.Lease{})
	c.Assert(err, qt.IsNil)
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := scheduler.New(scheduler.Options{}, l, emptyStore{}, &fakeWorkers{}, nil, &fakeMembers{}, &scheduler.Counters{}, logrus.NewEntry(log))
	o.ApplyCatalogue(workload.Catalogue{Version: 1, Queues: []workload.Queue{{Name: "q", Service: "S", MaxAttempts: 3, Advice: &workload.Advice{BaseDuration: time.Second}}}})
	o.AnnounceWorker(now, workload.Worker{ID: "w", Address: "w", Service: "S", Life: 1})
	o.ExecuteCall(now, 0, submission("a"))
	o.Schedule(now)
	o.Dispatch(ctx)
	c.Assert(o.WaitingQuestions(), qt.Equals, 1)
	return o
}

// A job is cancelled while its question waits. If the question were still sent, the
// advice service would spend a second on it that another question could use.
func TestQuestionOfCancelledJobIsDropped(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o := newOwnerWithQuestion(ctx, c, time.Minute)
	o.ExecuteCall(time.Minute, 0, intake.Call{Verb: intake.Cancel, ID: "a", Queue: "q"})
	o.Dispatch(ctx)
	c.Assert(o.WaitingQuestions(), qt.Equals, 0)
}

// The same for a job that is abandoned because the store is unavailable.
func TestQuestionOfAbandonedJobIsDropped(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o := newOwnerWithQuestion(ctx, c, time.Minute)
	o.SetCommitInFlight(time.Minute, time.Millisecond)
	o.AbandonNewJobs(time.Minute + 2*time.Second)
	c.Assert(o.WaitingQuestions(), qt.Equals, 0)
}

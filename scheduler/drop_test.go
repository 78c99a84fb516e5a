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

// emptyStore has no rows and takes all.
type emptyStore struct{}

func (emptyStore) Commit(context.Context, ledger.Transaction) (ledger.Version, error) { return 1, nil }

func (emptyStore) Rows(context.Context, string, string, string, int) (ledger.Page, error) {
	return ledger.Page{}, nil
}

func (emptyStore) Feed(context.Context, string, ledger.Version, time.Duration) (ledger.Page, error) {
	return ledger.Page{}, ledger.ErrHistoryDropped
}

// asking returns an owner at a time with a job whose question waits for a host.
func asking(ctx context.Context, c *qt.C, now time.Duration) *scheduler.Owner {
	l, err := ledger.Acquire(ctx, emptyStore{}, "C", "a", "i", ledger.Lease{})
	c.Assert(err, qt.IsNil)
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := scheduler.New(scheduler.Options{}, l, emptyStore{}, &fleet{}, nil, &desk{}, &scheduler.Counters{}, logrus.NewEntry(log))
	o.Catalogue(workload.Catalogue{Version: 1, Queues: []workload.Queue{{Name: "q", Service: "S", MaxAttempts: 3, Advice: &workload.Advice{BaseDuration: time.Second}}}})
	o.WorkerSeen(now, workload.Worker{ID: "w", Address: "w", Service: "S", Life: 1})
	o.Take(now, 0, submission("a"))
	o.Schedule(now)
	o.Dispatch(ctx)
	c.Assert(o.Questions(), qt.Equals, 1)
	return o
}

// A job is cancelled while its question waits. The service answered it all the same, for a
// second in which it could have answered another.
func TestQuestionOfACancelledJobIsNotAsked(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o := asking(ctx, c, time.Minute)
	o.Take(time.Minute, 0, intake.Call{Verb: intake.Cancel, ID: "a", Queue: "q"})
	o.Dispatch(ctx)
	c.Assert(o.Questions(), qt.Equals, 0)
}

// The same for a job that is taken back, as the store is away.
func TestQuestionOfAJobThatIsTakenBackIsNotAsked(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o := asking(ctx, c, time.Minute)
	o.Record(time.Minute, time.Millisecond)
	o.AbandonFresh(time.Minute + 2*time.Second)
	c.Assert(o.Questions(), qt.Equals, 0)
}

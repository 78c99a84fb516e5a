package scheduler_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/workload"
)

// storeWithWorker is a store in which one worker is announced.
type storeWithWorker struct {
	heldStore
	drains atomic.Bool
}

func (s *storeWithWorker) Rows(_ context.Context, table, _, _ string, _ int) (ledger.Page, error) {
	if table != platform.WorkerTable {
		return ledger.Page{}, nil
	}
	state := "ready"
	if s.drains.Load() {
		state = "draining"
	}
	return ledger.Page{Rows: []ledger.Row{{Table: table, Key: "w", Value: fmt.Appendf(nil,
		`{"service":"S","addr":"127.0.0.1:1","state":%q,"slots":64,"capacity":{"cpu":64000,"mem_mb":64000},"born":1}`, state)}}}, nil
}

// slowWorker answers no order to start until it is released.
type slowWorker struct {
	fakeWorkers
	released chan struct{}
	mu       sync.Mutex
	// jobs holds the jobs of all orders to start.
	jobs []string
}

func (w *slowWorker) Start(ctx context.Context, s platform.StartOrder) cell.Answer {
	w.mu.Lock()
	w.jobs = append(w.jobs, s.Task.Job)
	w.mu.Unlock()
	select {
	case <-w.released:
		return cell.Accepted
	case <-ctx.Done():
		return cell.NoAnswer
	}
}

func (w *slowWorker) Stop(context.Context, platform.Instance, workload.TaskID, int, int64) cell.Answer {
	return cell.Accepted
}

func (w *slowWorker) Hold(context.Context, platform.Instance, int64, int64, int64, time.Duration) (platform.HoldResponse, error) {
	return platform.HoldResponse{Clock: clock.Now().Milliseconds(), Report: cell.Report{Life: 1, Complete: true}}, nil
}

func (w *slowWorker) started() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.jobs)
}

// runOwnerWithWorker runs an owner of a cell with the worker w until the test ends.
func runOwnerWithWorker(c *qt.C, worker scheduler.Workers, replies replyChannel) *scheduler.Owner {
	return runOwnerOf(c, &storeWithWorker{}, worker, replies, discardLog())
}

// runOwnerOf is like runOwnerWithWorker.
func runOwnerOf(c *qt.C, store *storeWithWorker, worker scheduler.Workers, replies replyChannel, log *logrus.Entry) *scheduler.Owner {
	ctx, cancel := context.WithCancel(context.Background())
	l, err := ledger.Acquire(ctx, store, "C", "a", "i", ledger.Lease{})
	c.Assert(err, qt.IsNil)
	options := scheduler.Options{StatusRetention: time.Minute, CellOptions: cell.Options{Lease: 4 * time.Second, StartLease: 2500 * time.Millisecond, StopTime: 100 * time.Millisecond}}
	o := scheduler.New(options, l, store, worker, nil, replies, &scheduler.Counters{}, log)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = o.Run(ctx, workload.Catalogue{Version: 1, Queues: []workload.Queue{{Name: "q", Service: "S", MaxAttempts: 3}}})
	}()
	c.Cleanup(func() {
		cancel()
		<-ended
	})
	return o
}

// A worker is slow, so that orders to start queue behind others, and their jobs are cancelled
// meanwhile. The queued orders must not be sent after the cancellation is acknowledged
// (UNASKED).
func TestQueuedStartOfCancelledJobIsNotSent(t *testing.T) {
	c := qt.New(t)
	replies, worker := make(replyChannel, 20), &slowWorker{released: make(chan struct{})}
	o := runOwnerWithWorker(c, worker, replies)
	// The first jobs occupy the senders of the worker.
	const jobs = 4
	for n := range jobs {
		o.HandleCall("h", submission(fmt.Sprint(n)))
		c.Assert(replies.next(c).Outcome, qt.Equals, intake.Accepted)
	}
	for end := time.Now().Add(5 * time.Second); len(worker.started()) < 2; time.Sleep(5 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("no order to start"))
	}
	for n := range jobs {
		o.HandleCall("h", cancellation(fmt.Sprint(n)))
		c.Assert(replies.next(c).Outcome, qt.Equals, intake.Accepted)
	}
	sent := len(worker.started())
	// The orders that the worker does not answer are given up after 0.9 s.
	time.Sleep(1200 * time.Millisecond)
	c.Assert(worker.started()[sent:], qt.HasLen, 0)
}

// await waits until a condition holds, and fails the test with what is missing after 5 s.
func await(c *qt.C, missing string, condition func() bool) {
	c.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf(missing))
	}
}

// A worker is slow, so that orders to start queue behind others, and begins to drain
// meanwhile. Queued orders must not be sent once the owner has read that (DRAIN).
func TestQueuedStartOnDrainingWorkerIsNotSent(t *testing.T) {
	c := qt.New(t)
	log, lines := logtest.NewNullLogger()
	store, replies, worker := &storeWithWorker{}, make(replyChannel, 20), &slowWorker{released: make(chan struct{})}
	o := runOwnerOf(c, store, worker, replies, logrus.NewEntry(log))
	const jobs = 6
	for n := range jobs {
		o.HandleCall("h", submission(fmt.Sprint(n)))
		c.Assert(replies.next(c).Outcome, qt.Equals, intake.Accepted)
	}
	await(c, "no order to start", func() bool { return len(worker.started()) >= 2 })
	store.drains.Store(true)
	await(c, "the owner does not read that the worker drains", func() bool {
		return slices.ContainsFunc(lines.AllEntries(), func(e *logrus.Entry) bool { return e.Message == "cell: worker drains" })
	})
	sent := worker.started()
	time.Sleep(2500 * time.Millisecond)
	for _, job := range worker.started() {
		c.Check(slices.Contains(sent, job), qt.IsTrue, qt.Commentf("job %s was first ordered after the worker drained", job))
	}
}

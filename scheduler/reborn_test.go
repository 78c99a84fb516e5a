package scheduler_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/platform"
)

// rebornWorker is a slow worker that answers holds as another life after a while.
type rebornWorker struct {
	slowWorker
	life, holds atomic.Int64
}

func (w *rebornWorker) Hold(context.Context, platform.Instance, int64, int64, int64, time.Duration) (platform.HoldResponse, error) {
	w.holds.Add(1)
	return platform.HoldResponse{Clock: clock.Now().Milliseconds(), Report: cell.Report{Life: w.life.Load(), Complete: true}}, nil
}

// Orders to start are queued for a worker that starts again meanwhile, maybe as another kind.
// They were placed by the labels of its earlier life and must not be sent (ROUTE).
func TestQueuedStartForAnEarlierLifeIsNotSent(t *testing.T) {
	c := qt.New(t)
	worker := &rebornWorker{slowWorker: slowWorker{released: make(chan struct{})}}
	worker.life.Store(1)
	replies := make(replyChannel, 20)
	o := runOwnerWithWorker(c, worker, replies)
	for n := range 6 {
		o.HandleCall("h", submission(fmt.Sprint(n)))
		c.Assert(replies.next(c).Outcome, qt.Equals, intake.Accepted)
	}
	await(c, "no order to start", func() bool { return len(worker.started()) >= 2 })
	worker.life.Store(2)
	seen := worker.holds.Load()
	await(c, "the worker is not polled", func() bool { return worker.holds.Load() >= seen+2 })
	sent := worker.started()
	time.Sleep(2500 * time.Millisecond)
	for _, job := range worker.started() {
		c.Check(slices.Contains(sent, job), qt.IsTrue, qt.Commentf("job %s was first ordered in the next life", job))
	}
}

package scheduler_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/timer"
	"github.com/vanillaquay/vanillaquay/workload"
)

// restartingWorker is a worker that starts again under its ID. The calls that its first life
// had received are left without an answer.
type restartingWorker struct {
	fakeWorkers
	mu   sync.Mutex
	life int64
	// heard reports whether the second life has answered a hold.
	heard bool
	// acked is the highest number of an end that the first life was told to discard.
	acked int64
	// misdirected describes what the second life did before it was heard.
	misdirected []string
}

// lastEnd is the number of the only end that the first life reports.
const lastEnd = 5

func (w *restartingWorker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life = 2
}

func (w *restartingWorker) currentLife() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.life
}

func (w *restartingWorker) Start(ctx context.Context, s platform.StartOrder) cell.Answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.Life != 0 && s.Life != w.life {
		return cell.OtherLife
	}
	if w.life == 2 && !w.heard {
		w.misdirected = append(w.misdirected, fmt.Sprintf("started %s until %d", s.Task, s.LeaseUntil))
	}
	return cell.NoAnswer
}

func (w *restartingWorker) Stop(context.Context, platform.Instance, workload.TaskID, int, int64) cell.Answer {
	return cell.Accepted
}

func (w *restartingWorker) Hold(ctx context.Context, i platform.Instance, _, acked, until int64, wait time.Duration) (platform.HoldResponse, error) {
	life := w.currentLife()
	if i.Life != 0 && i.Life != life {
		return platform.HoldResponse{}, cell.OtherLifeError{Life: life}
	}
	report := w.report(life, acked, until)
	if len(report.Ended) == 0 && !timer.Sleep(ctx, wait) || w.currentLife() != life {
		return platform.HoldResponse{}, platform.ErrNoAnswer
	}
	return platform.HoldResponse{Clock: clock.Now().Milliseconds(), Report: report}, nil
}

func (w *restartingWorker) report(life, acked, until int64) cell.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	report := cell.Report{Life: life, Complete: true}
	switch {
	case life == 1 && acked < lastEnd:
		report.Ended = []cell.EndedRun{{Number: lastEnd}}
	case life == 1:
		w.acked = acked
	case !w.heard:
		w.heard = true
		if acked != 0 || until != 0 {
			w.misdirected = append(w.misdirected, fmt.Sprintf("discarded ends up to %d and extended leases until %d", acked, until))
		}
	}
	return report
}

// A worker starts again under its ID, and the owner learns of it late. The new life must not
// start runs, extend leases or discard ends by calls that were meant for the earlier one: by
// the clock of that one, its leases last longer than the owner waits before it starts the
// runs elsewhere (TWICE).
func TestCallsForAnEarlierLifeAreNotCarriedOut(t *testing.T) {
	c := qt.New(t)
	worker, replies := &restartingWorker{life: 1}, make(replyChannel, 20)
	o := runOwnerWithWorker(c, worker, replies)
	await(c, "no end is discarded", func() bool {
		worker.mu.Lock()
		defer worker.mu.Unlock()
		return worker.acked == lastEnd
	})
	worker.restart()
	o.HandleCall("h", submission("1"))
	c.Assert(replies.next(c).Outcome, qt.Equals, intake.Accepted)
	await(c, "the second life is not heard", func() bool {
		worker.mu.Lock()
		defer worker.mu.Unlock()
		return worker.heard
	})
	worker.mu.Lock()
	defer worker.mu.Unlock()
	c.Check(slices.Clone(worker.misdirected), qt.HasLen, 0)
}

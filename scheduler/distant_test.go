package scheduler_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/workload"
)

// distantWorker runs what it is told to, a round trip away.
type distantWorker struct {
	fakeWorkers
	roundTrip time.Duration
	mu        sync.Mutex
	// calls holds the orders in the order of their arrival.
	calls   []string
	running map[workload.TaskID]int
}

func (w *distantWorker) call(text string, apply func()) cell.Answer {
	time.Sleep(w.roundTrip / 2)
	w.mu.Lock()
	w.calls = append(w.calls, text)
	apply()
	w.mu.Unlock()
	time.Sleep(w.roundTrip / 2)
	return cell.Accepted
}

func (w *distantWorker) Start(_ context.Context, s platform.StartOrder) cell.Answer {
	return w.call("start "+s.Task.Job, func() { w.running[s.Task] = s.Run })
}

func (w *distantWorker) Stop(_ context.Context, _ platform.Instance, id workload.TaskID, _ int, _ int64) cell.Answer {
	return w.call("stop "+id.Job, func() { delete(w.running, id) })
}

func (w *distantWorker) Hold(_ context.Context, _ platform.Instance, _, _, _ int64, _ time.Duration) (platform.HoldResponse, error) {
	time.Sleep(w.roundTrip)
	w.mu.Lock()
	defer w.mu.Unlock()
	report := cell.Report{Life: 1, Complete: true}
	for id, n := range w.running {
		report.Running = append(report.Running, cell.ActiveRun{Task: id, Run: n})
	}
	return platform.HoldResponse{Clock: clock.Now().Milliseconds(), Report: report}, nil
}

func (w *distantWorker) runningCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

// awaitRunning waits until as many tasks run, and returns how long that took.
func (w *distantWorker) awaitRunning(c *qt.C, tasks int) time.Duration {
	c.Helper()
	begun := time.Now()
	for w.runningCount() != tasks {
		c.Assert(time.Since(begun) < 20*time.Second, qt.IsTrue, qt.Commentf("%d tasks run, not %d", w.runningCount(), tasks))
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(begun)
}

func manyTasks(id string, tasks int, gang bool) intake.Call {
	call := submission(id)
	call.Job.Steps[0].TaskCount, call.Job.Steps[0].Gang = tasks, gang
	return call
}

// All tasks of a job run on one worker in another region. When the job is cancelled, all of
// them must be stopped in time (UNASKED): within cancel_ms and stop_ms, 3.9 s together.
func TestTasksOnADistantWorkerAreStoppedInTime(t *testing.T) {
	c := qt.New(t)
	worker, replies := &distantWorker{roundTrip: 41 * time.Millisecond, running: map[workload.TaskID]int{}}, make(replyChannel, 20)
	o := runOwnerWithWorker(c, worker, replies)
	const tasks = 300
	o.HandleCall("h", manyTasks("a", tasks, false))
	c.Assert(replies.next(c).Outcome, qt.Equals, intake.Accepted)
	worker.awaitRunning(c, tasks)
	o.HandleCall("h", cancellation("a"))
	c.Assert(replies.next(c).Outcome, qt.Equals, intake.Accepted)
	took := worker.awaitRunning(c, 0)
	c.Assert(took < 3900*time.Millisecond, qt.IsTrue, qt.Commentf("stopped after %s", took))
}

// The tasks of a gang wait 3 s for each other (gang_timeout_ms). Those on a worker in another
// region must all be started by then, or the gang never runs (LOST).
func TestGangOnADistantWorkerStartsInTime(t *testing.T) {
	c := qt.New(t)
	worker, replies := &distantWorker{roundTrip: 41 * time.Millisecond, running: map[workload.TaskID]int{}}, make(replyChannel, 20)
	o := runOwnerWithWorker(c, worker, replies)
	const tasks = 250
	o.HandleCall("h", manyTasks("a", tasks, true))
	c.Assert(replies.next(c).Outcome, qt.Equals, intake.Accepted)
	took := worker.awaitRunning(c, tasks)
	c.Assert(took < 3*time.Second, qt.IsTrue, qt.Commentf("started after %s", took))
}

// A job is cancelled while the starts of others wait for the same worker. Its stops must not
// wait behind them (UNASKED).
func TestStopsGoBeforeQueuedStarts(t *testing.T) {
	c := qt.New(t)
	worker, replies := &distantWorker{roundTrip: 41 * time.Millisecond, running: map[workload.TaskID]int{}}, make(replyChannel, 20)
	o := runOwnerWithWorker(c, worker, replies)
	o.HandleCall("h", manyTasks("a", 2, false))
	c.Assert(replies.next(c).Outcome, qt.Equals, intake.Accepted)
	worker.awaitRunning(c, 2)
	const others = 200
	o.HandleCall("h", manyTasks("b", others, false))
	c.Assert(replies.next(c).Outcome, qt.Equals, intake.Accepted)
	o.HandleCall("h", cancellation("a"))
	c.Assert(replies.next(c).Outcome, qt.Equals, intake.Accepted)
	worker.awaitRunning(c, others)
	worker.mu.Lock()
	defer worker.mu.Unlock()
	before := 0
	for _, text := range worker.calls[2:] {
		if text == "stop a" {
			break
		}
		before++
	}
	c.Assert(before < others/2, qt.IsTrue, qt.Commentf("%d starts were sent before the first stop: %s", before, fmt.Sprint(worker.calls[2:])))
}

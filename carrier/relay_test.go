package carrier_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/carrier"
	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/workload"
)

// fakeWorkers stands for all workers and counts the calls to each.
type fakeWorkers struct {
	mu    sync.Mutex
	calls map[string]int
	// answer is the answer to all calls. Calls wait until blocked is closed, unless it is
	// nil.
	answer  cell.Answer
	blocked chan struct{}
}

func (f *fakeWorkers) handleCall(ctx context.Context, worker string) cell.Answer {
	f.mu.Lock()
	f.calls[worker]++
	f.mu.Unlock()
	if f.blocked != nil {
		select {
		case <-f.blocked:
		case <-ctx.Done():
			return cell.NoAnswer
		}
	}
	return f.answer
}

func (f *fakeWorkers) count(worker string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[worker]
}

// instanceOf returns any life of a worker.
func instanceOf(worker string) platform.Instance {
	return platform.Instance{Address: "a", Worker: worker}
}

func (f *fakeWorkers) Start(ctx context.Context, s platform.StartOrder) cell.Answer {
	return f.handleCall(ctx, s.Worker)
}

func (f *fakeWorkers) Stop(ctx context.Context, i platform.Instance, _ workload.TaskID, _ int, _ int64) cell.Answer {
	return f.handleCall(ctx, i.Worker)
}

func (f *fakeWorkers) Pace(ctx context.Context, i platform.Instance, _ workload.TaskID, _ int, _ int64, _ int) cell.Answer {
	return f.handleCall(ctx, i.Worker)
}

func (f *fakeWorkers) Hold(ctx context.Context, i platform.Instance, _, _, _ int64, _ time.Duration) (platform.HoldResponse, error) {
	switch f.handleCall(ctx, i.Worker) {
	case cell.Accepted:
		return platform.HoldResponse{Clock: 7, Report: report}, nil
	case cell.Fenced:
		return platform.HoldResponse{}, cell.ErrFenced
	case cell.OtherLife:
		return platform.HoldResponse{}, cell.ErrOtherLife
	default:
		return platform.HoldResponse{}, platform.ErrNoAnswer
	}
}

var (
	taskID = workload.TaskID{StepID: workload.StepID{Job: "j", Occurrence: 2, Step: 1}, Index: 3}
	report = cell.Report{
		Life: 5, Complete: true,
		Running: []cell.ActiveRun{{Task: taskID, Run: 4, Checkpoint: "c", Percent: 12, Measure: 900}},
		Ended:   []cell.EndedRun{{Number: 9, Task: taskID, Run: 3, Outcome: cell.EndedFailed, Checkpoint: "b"}},
	}
)

// cluster is an owner with its carriers.
type cluster struct {
	mu     sync.Mutex
	relay  *carrier.Relay
	direct *fakeWorkers
	remote map[string]*fakeWorkers
	hosts  map[string]*carrier.Carrier
	down   map[string]bool
	muted  map[string]bool
	// batches counts the batches that were sent.
	batches int
	fence   int64
}

func newCluster(hosts int) *cluster {
	w := &cluster{direct: newFakeWorkers(), remote: map[string]*fakeWorkers{}, hosts: map[string]*carrier.Carrier{}, down: map[string]bool{}, muted: map[string]bool{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	w.relay = carrier.NewRelay(w.direct, w, logrus.NewEntry(log))
	for i := range hosts {
		host := fmt.Sprintf("h%d", i)
		w.remote[host] = newFakeWorkers()
		w.hosts[host] = carrier.NewCarrier(w.remote[host], func() int64 { return w.fence }, func(_ string, a carrier.Answers) {
			if !w.contains(w.muted, host) {
				w.relay.HandleAnswers(host, a)
			}
		})
	}
	return w
}

func newFakeWorkers() *fakeWorkers {
	return &fakeWorkers{calls: map[string]int{}, answer: cell.Accepted}
}

func (w *cluster) contains(set map[string]bool, host string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return set[host]
}

func (w *cluster) set(set map[string]bool, host string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	set[host] = true
}

// Peers implements carrier.Peers.
func (w *cluster) Peers() []carrier.Peer {
	var peers []carrier.Peer
	for i := range len(w.hosts) {
		host := fmt.Sprintf("h%d", i)
		if !w.contains(w.down, host) {
			peers = append(peers, carrier.Peer{Host: host, Zone: "z", Processors: 0.8})
		}
	}
	return peers
}

// SendCalls implements carrier.Peers.
func (w *cluster) SendCalls(host string, c carrier.Calls) bool {
	if w.contains(w.down, host) {
		return false
	}
	w.mu.Lock()
	w.batches++
	w.mu.Unlock()
	w.hosts[host].HandleCalls(context.Background(), "owner", c)
	return true
}

// setFleet makes workers w0, w1 and so on known to the relay.
func (w *cluster) setFleet(workers int) {
	var fleet []workload.Worker
	for i := range workers {
		fleet = append(fleet, workload.Worker{ID: fmt.Sprintf("w%d", i), Address: "a", Zone: "z"})
	}
	w.relay.SetFleet(fleet)
}

func (w *cluster) start(worker string) cell.Answer {
	return w.relay.Start(context.Background(), platform.StartOrder{Instance: instanceOf(worker), Task: taskID, Run: 1, FencingToken: 1})
}

func (w *cluster) hold(worker string) (platform.HoldResponse, error) {
	return w.relay.Hold(context.Background(), instanceOf(worker), 1, 0, 0, 0)
}

// callCount returns the number of calls that reached a worker, directly or through a
// carrier.
func (w *cluster) callCount(worker string) int {
	n := w.direct.count(worker)
	for _, f := range w.remote {
		n += f.count(worker)
	}
	return n
}

func TestSmallCellIsCalledDirectly(t *testing.T) {
	w := newCluster(3)
	w.setFleet(48)
	qt.Assert(t, w.start("w1"), qt.Equals, cell.Accepted)
	qt.Assert(t, w.direct.count("w1"), qt.Equals, 1)
}

// 370 workers report, and each gets an order at the same time, as when one transaction
// releases them. The owner must send a few messages in place of a call each.
func TestCallsOfLargeCellAreBatched(t *testing.T) {
	const workers = 370
	w := newCluster(6)
	w.setFleet(workers)
	var calls sync.WaitGroup
	for i := range workers {
		calls.Add(2)
		worker := fmt.Sprintf("w%d", i)
		go func() {
			defer calls.Done()
			qt.Check(t, w.start(worker), qt.Equals, cell.Accepted)
		}()
		go func() {
			defer calls.Done()
			lists, err := w.hold(worker)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, lists.Clock, qt.Equals, int64(7))
			qt.Check(t, lists.Report, qt.DeepEquals, report)
		}()
	}
	calls.Wait()
	qt.Assert(t, w.batches <= 2*workers/10, qt.IsTrue, qt.Commentf("%d batches for %d calls", w.batches, 2*workers))
	for i := range workers {
		qt.Assert(t, w.callCount(fmt.Sprintf("w%d", i)), qt.Equals, 2)
	}
}

// The connection to a carrier breaks. Calls that cannot have been sent must be made
// directly.
func TestCallsGoDirectWithoutConnectionToCarrier(t *testing.T) {
	w := newCluster(1)
	w.setFleet(200)
	qt.Assert(t, w.start("w1"), qt.Equals, cell.Accepted)
	w.set(w.down, "h0")
	qt.Assert(t, w.start("w1"), qt.Equals, cell.Accepted)
	qt.Assert(t, w.direct.count("w1"), qt.Equals, 1)
	qt.Assert(t, w.callCount("w1"), qt.Equals, 2)
}

// A carrier fails with orders in flight. These must end without an answer, because they
// may have been made, and none may be made twice. Later orders must avoid the carrier.
func TestUnresponsiveCarrierIsSkipped(t *testing.T) {
	c := qt.New(t)
	w := newCluster(1)
	w.setFleet(200)
	c.Assert(w.start("w1"), qt.Equals, cell.Accepted)
	w.set(w.muted, "h0")
	c.Assert(w.start("w2"), qt.Equals, cell.NoAnswer)
	c.Assert(w.callCount("w2"), qt.Equals, 1)
	c.Assert(w.start("w3"), qt.Equals, cell.Accepted)
	c.Assert(w.direct.count("w3"), qt.Equals, 1)
}

// A worker that does not answer its carrier must not make the carrier suspect.
func TestSilentWorkerDoesNotMakeCarrierSuspect(t *testing.T) {
	c := qt.New(t)
	w := newCluster(1)
	w.setFleet(200)
	w.remote["h0"].answer = cell.NoAnswer
	c.Assert(w.start("w1"), qt.Equals, cell.NoAnswer)
	_, err := w.hold("w1")
	c.Assert(err, qt.IsNotNil)
	c.Assert(w.start("w1"), qt.Equals, cell.NoAnswer)
	c.Assert(w.direct.count("w1"), qt.Equals, 0)
}

// A carrier that knows a later owner must make no call for the earlier one, which thereby
// learns that it was replaced.
func TestCarrierRejectsCallsOfEarlierOwner(t *testing.T) {
	c := qt.New(t)
	w := newCluster(1)
	w.setFleet(200)
	w.fence = 2
	c.Assert(w.start("w1"), qt.Equals, cell.Fenced)
	_, err := w.hold("w1")
	c.Assert(errors.Is(err, cell.ErrFenced), qt.IsTrue)
	c.Assert(w.callCount("w1"), qt.Equals, 0)
}

// A carrier must forward the errors of a worker unchanged.
func TestWorkerErrorsAreForwarded(t *testing.T) {
	c := qt.New(t)
	w := newCluster(1)
	w.setFleet(200)
	for answer, want := range map[cell.Answer]error{cell.Fenced: cell.ErrFenced, cell.OtherLife: cell.ErrOtherLife} {
		w.remote["h0"].answer = answer
		_, err := w.hold("w1")
		c.Assert(errors.Is(err, want), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(w.start("w1"), qt.Equals, answer)
	}
}

// A call times out at the owner, and its answer arrives later. It must not be taken as
// the answer to another call.
func TestLateAnswerIsDropped(t *testing.T) {
	c := qt.New(t)
	w := newCluster(1)
	w.setFleet(200)
	far := w.remote["h0"]
	far.blocked = make(chan struct{})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	answer := w.relay.Stop(ctx, instanceOf("w1"), taskID, 1, 1)
	c.Assert(answer, qt.Equals, cell.NoAnswer)
	close(far.blocked)
	c.Assert(w.start("w2"), qt.Equals, cell.Accepted)
	c.Assert(w.callCount("w1"), qt.Equals, 1)
	c.Assert(w.callCount("w2"), qt.Equals, 1)
}

// The process of an owner ends while a carrier waits for a worker, and its successor owns
// the cell again and numbers its calls from the start. The answer to the earlier call
// must not be delivered to the later call with the same number.
func TestAnswerToEarlierProcessIsDropped(t *testing.T) {
	c := qt.New(t)
	earlier, later := newCluster(1), newCluster(1)
	replies := make(chan carrier.Answers, 1)
	blockedCarrier := carrier.NewCarrier(earlier.remote["h0"], func() int64 { return 0 }, func(_ string, a carrier.Answers) { replies <- a })
	blockedCarrier.HandleCalls(context.Background(), "owner", carrier.Calls{Fence: 1, Calls: []carrier.Call{{Number: 1, Verb: carrier.Start, Worker: "w9"}}})
	old := <-replies
	later.setFleet(200)
	later.remote["h0"].answer = cell.NoRoom
	later.remote["h0"].blocked = make(chan struct{})
	answers := make(chan cell.Answer, 1)
	go func() {
		answers <- later.relay.Start(context.Background(), platform.StartOrder{Instance: instanceOf("w1"), Task: taskID, Run: 1, FencingToken: 2})
	}()
	for later.callCount("w1") == 0 {
		time.Sleep(time.Millisecond)
	}
	later.relay.HandleAnswers("h0", old)
	close(later.remote["h0"].blocked)
	c.Assert(<-answers, qt.Equals, cell.NoRoom)
}

// A carrier is suspended with orders that it has received. When it resumes, their owner
// has sent other copies and may have been replaced, so none of them may be carried out.
func TestSuspendedCarrierDropsOldCalls(t *testing.T) {
	c := qt.New(t)
	w := newCluster(1)
	for _, verb := range []carrier.Verb{carrier.Hold, carrier.Start, carrier.Stop, carrier.Pace} {
		call := carrier.Call{Number: 1, Verb: verb, Worker: "w1", Task: taskID, Run: 1}
		now := clock.Now()
		c.Assert(w.hosts["h0"].Execute(context.Background(), now-time.Second, 1, call).Order, qt.Equals, cell.Unsent)
		c.Assert(w.callCount("w1"), qt.Equals, 0)
	}
	call := carrier.Call{Number: 1, Verb: carrier.Start, Worker: "w1", Task: taskID, Run: 1}
	c.Assert(w.hosts["h0"].Execute(context.Background(), clock.Now(), 1, call).Order, qt.Equals, cell.Accepted)
}

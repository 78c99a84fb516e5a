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

// floor stands for the workers. It counts the calls to each.
type floor struct {
	mu    sync.Mutex
	calls map[string]int
	// answer is what orders are answered, held holds calls up.
	answer cell.Answer
	held   chan struct{}
}

func (f *floor) take(ctx context.Context, worker string) cell.Answer {
	f.mu.Lock()
	f.calls[worker]++
	f.mu.Unlock()
	if f.held != nil {
		select {
		case <-f.held:
		case <-ctx.Done():
			return cell.NoAnswer
		}
	}
	return f.answer
}

func (f *floor) count(worker string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[worker]
}

func (f *floor) Start(ctx context.Context, s platform.Start) cell.Answer {
	return f.take(ctx, s.Worker)
}

func (f *floor) Stop(ctx context.Context, _, worker string, _ workload.TaskID, _ int, _ int64) cell.Answer {
	return f.take(ctx, worker)
}

func (f *floor) Pace(ctx context.Context, _, worker string, _ workload.TaskID, _ int, _ int64, _ int) cell.Answer {
	return f.take(ctx, worker)
}

func (f *floor) Hold(ctx context.Context, _, worker string, _, _, _ int64, _ time.Duration) (platform.Lists, error) {
	switch f.take(ctx, worker) {
	case cell.Accepted:
		return platform.Lists{Clock: 7, Report: report}, nil
	case cell.Fenced:
		return platform.Lists{}, cell.ErrFenced
	case cell.OtherLife:
		return platform.Lists{}, cell.ErrOtherLife
	default:
		return platform.Lists{}, platform.ErrNoAnswer
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

// world is an owner with carriers.
type world struct {
	mu     sync.Mutex
	relay  *carrier.Relay
	direct *floor
	far    map[string]*floor
	hosts  map[string]*carrier.Carrier
	down   map[string]bool
	deaf   map[string]bool
	// batches counts those that were sent.
	batches int
	fence   int64
}

func newWorld(hosts int) *world {
	w := &world{direct: newFloor(), far: map[string]*floor{}, hosts: map[string]*carrier.Carrier{}, down: map[string]bool{}, deaf: map[string]bool{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	w.relay = carrier.NewRelay(w.direct, w, logrus.NewEntry(log))
	for i := range hosts {
		host := fmt.Sprintf("h%d", i)
		w.far[host] = newFloor()
		w.hosts[host] = carrier.NewCarrier(w.far[host], func() int64 { return w.fence }, func(_ string, a carrier.Answers) {
			if !w.is(w.deaf, host) {
				w.relay.HandleAnswers(host, a)
			}
		})
	}
	return w
}

func newFloor() *floor { return &floor{calls: map[string]int{}, answer: cell.Accepted} }

func (w *world) is(set map[string]bool, host string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return set[host]
}

func (w *world) set(set map[string]bool, host string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	set[host] = true
}

// Peers implements carrier.Peers.
func (w *world) Peers() []carrier.Peer {
	var peers []carrier.Peer
	for i := range len(w.hosts) {
		host := fmt.Sprintf("h%d", i)
		if !w.is(w.down, host) {
			peers = append(peers, carrier.Peer{Host: host, Zone: "z", Processors: 0.8})
		}
	}
	return peers
}

// SendCalls implements carrier.Peers.
func (w *world) SendCalls(host string, c carrier.Calls) bool {
	if w.is(w.down, host) {
		return false
	}
	w.mu.Lock()
	w.batches++
	w.mu.Unlock()
	w.hosts[host].HandleCalls(context.Background(), "owner", c)
	return true
}

// setFleet makes workers w0 and so on known.
func (w *world) setFleet(workers int) {
	var fleet []workload.Worker
	for i := range workers {
		fleet = append(fleet, workload.Worker{ID: fmt.Sprintf("w%d", i), Address: "a", Zone: "z"})
	}
	w.relay.SetFleet(fleet)
}

func (w *world) start(worker string) cell.Answer {
	return w.relay.Start(context.Background(), platform.Start{Worker: worker, Address: "a", Task: taskID, Run: 1, Fence: 1})
}

func (w *world) hold(worker string) (platform.Lists, error) {
	return w.relay.Hold(context.Background(), "a", worker, 1, 0, 0, 0)
}

// made counts the calls that reached a worker in any way.
func (w *world) made(worker string) int {
	n := w.direct.count(worker)
	for _, f := range w.far {
		n += f.count(worker)
	}
	return n
}

func TestSmallCellIsNotCarried(t *testing.T) {
	w := newWorld(3)
	w.setFleet(48)
	qt.Assert(t, w.start("w1"), qt.Equals, cell.Accepted)
	qt.Assert(t, w.direct.count("w1"), qt.Equals, 1)
}

// 370 workers report, and each gets an order as one transaction lets these out: the owner
// sends some messages in place of a call each.
func TestCallsOfALargeCellGoInBatches(t *testing.T) {
	const workers = 370
	w := newWorld(6)
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
		qt.Assert(t, w.made(fmt.Sprintf("w%d", i)), qt.Equals, 2)
	}
}

// The connection to a carrier is gone: its calls have not left, and are made directly.
func TestCarrierWithoutAConnection(t *testing.T) {
	w := newWorld(1)
	w.setFleet(200)
	qt.Assert(t, w.start("w1"), qt.Equals, cell.Accepted)
	w.set(w.down, "h0")
	qt.Assert(t, w.start("w1"), qt.Equals, cell.Accepted)
	qt.Assert(t, w.direct.count("w1"), qt.Equals, 1)
	qt.Assert(t, w.made("w1"), qt.Equals, 2)
}

// A carrier goes with orders on their way: these have no answer, so that they count as
// perhaps made, and the next go another way. None is made twice.
func TestCarrierThatAnswersNothingIsPassedOver(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	w.setFleet(200)
	c.Assert(w.start("w1"), qt.Equals, cell.Accepted)
	w.set(w.deaf, "h0")
	c.Assert(w.start("w2"), qt.Equals, cell.NoAnswer)
	c.Assert(w.made("w2"), qt.Equals, 1)
	c.Assert(w.start("w3"), qt.Equals, cell.Accepted)
	c.Assert(w.direct.count("w3"), qt.Equals, 1)
}

// A worker that does not answer its carrier says nothing about the carrier.
func TestSilentWorkerIsNotItsCarriersFault(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	w.setFleet(200)
	w.far["h0"].answer = cell.NoAnswer
	c.Assert(w.start("w1"), qt.Equals, cell.NoAnswer)
	_, err := w.hold("w1")
	c.Assert(err, qt.IsNotNil)
	c.Assert(w.start("w1"), qt.Equals, cell.NoAnswer)
	c.Assert(w.direct.count("w1"), qt.Equals, 0)
}

// A carrier that knows of a later owner makes no call for the earlier one, which learns
// so that it was replaced.
func TestCarrierKnowsOfALaterOwner(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	w.setFleet(200)
	w.fence = 2
	c.Assert(w.start("w1"), qt.Equals, cell.Fenced)
	_, err := w.hold("w1")
	c.Assert(errors.Is(err, cell.ErrFenced), qt.IsTrue)
	c.Assert(w.made("w1"), qt.Equals, 0)
}

// What a worker says of itself passes through a carrier.
func TestErrorsOfAWorkerAreCarried(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	w.setFleet(200)
	for answer, want := range map[cell.Answer]error{cell.Fenced: cell.ErrFenced, cell.OtherLife: cell.ErrOtherLife} {
		w.far["h0"].answer = answer
		_, err := w.hold("w1")
		c.Assert(errors.Is(err, want), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(w.start("w1"), qt.Equals, answer)
	}
}

// The owner gives a call up; its answer comes later and is no answer to another call.
func TestLateAnswerIsDropped(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	w.setFleet(200)
	far := w.far["h0"]
	far.held = make(chan struct{})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	answer := w.relay.Stop(ctx, "a", "w1", taskID, 1, 1)
	c.Assert(answer, qt.Equals, cell.NoAnswer)
	close(far.held)
	c.Assert(w.start("w2"), qt.Equals, cell.Accepted)
	c.Assert(w.made("w1"), qt.Equals, 1)
	c.Assert(w.made("w2"), qt.Equals, 1)
}

// The owner's process ends while a carrier waits for a worker, and owns the cell again with
// its calls numbered anew. The answer to the earlier call is none to the later one with the
// same number.
func TestAnswerToAnEarlierProcessIsDropped(t *testing.T) {
	c := qt.New(t)
	earlier, later := newWorld(1), newWorld(1)
	replies := make(chan carrier.Answers, 1)
	waits := carrier.NewCarrier(earlier.far["h0"], func() int64 { return 0 }, func(_ string, a carrier.Answers) { replies <- a })
	waits.HandleCalls(context.Background(), "owner", carrier.Calls{Fence: 1, Calls: []carrier.Call{{Number: 1, Verb: carrier.Start, Worker: "w9"}}})
	old := <-replies
	later.setFleet(200)
	later.far["h0"].answer = cell.NoRoom
	later.far["h0"].held = make(chan struct{})
	answers := make(chan cell.Answer, 1)
	go func() {
		answers <- later.relay.Start(context.Background(), platform.Start{Worker: "w1", Address: "a", Task: taskID, Run: 1, Fence: 2})
	}()
	for later.made("w1") == 0 {
		time.Sleep(time.Millisecond)
	}
	later.relay.HandleAnswers("h0", old)
	close(later.far["h0"].held)
	c.Assert(<-answers, qt.Equals, cell.NoRoom)
}

// A carrier is suspended with orders that it has received. When it wakes, their owner has
// sent others, and may have been replaced: none of them is carried out.
func TestCarrierThatWasSuspendedCarriesOutNothingOld(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	for _, verb := range []carrier.Verb{carrier.Hold, carrier.Start, carrier.Stop, carrier.Pace} {
		call := carrier.Call{Number: 1, Verb: verb, Worker: "w1", Task: taskID, Run: 1}
		now := clock.Now()
		c.Assert(w.hosts["h0"].CarryOut(context.Background(), now-time.Second, 1, call).Order, qt.Equals, cell.Unsent)
		c.Assert(w.made("w1"), qt.Equals, 0)
	}
	call := carrier.Call{Number: 1, Verb: carrier.Start, Worker: "w1", Task: taskID, Run: 1}
	c.Assert(w.hosts["h0"].CarryOut(context.Background(), clock.Now(), 1, call).Order, qt.Equals, cell.Accepted)
}

package worker_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/worker"
	"github.com/vanillaquay/vanillaquay/workerstandin"
)

// waitTimeout bounds every wait. It is generous, since it does not test speed.
const waitTimeout = 20 * time.Second

var capacity = task.Size{Processors: 4000, Memory: 4 << 30, Slots: 4}

// listener records the events of a link.
type listener struct {
	mu             sync.Mutex
	inventories    []worker.Inventory
	results        map[task.AttemptID][]worker.Result
	unanswered     []worker.Command
	events         []worker.Event
	longestSilence time.Duration
	fencedCount    int
}

func (l *listener) HandleInventory(_ *worker.Link, i worker.Inventory) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inventories = append(l.inventories, i)
}

func (l *listener) HandleResult(_ *worker.Link, c worker.Command, r worker.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results[c.Attempt] = append(l.results[c.Attempt], r)
}

func (l *listener) HandleUnanswered(_ *worker.Link, c worker.Command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unanswered = append(l.unanswered, c)
}

func (l *listener) HandleEvents(_ *worker.Link, events []worker.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, events...)
}

func (l *listener) HandleSilence(_ *worker.Link, since time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.longestSilence = max(l.longestSilence, since)
}

func (l *listener) HandleFenced(*worker.Link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fencedCount++
}

// waitFor waits until a condition on the recorded events holds.
func (l *listener) waitFor(c *qt.C, what string, condition func() bool) {
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		l.mu.Lock()
		ok := condition()
		l.mu.Unlock()
		if ok {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.Fatalf("timed out waiting for %s", what)
}

// hasEnd reports whether the end of an attempt was reported, by an event or by a
// later inventory.
func (l *listener) hasEnd() bool {
	if len(l.events) > 0 {
		return true
	}
	for _, i := range l.inventories {
		if len(i.Attempts) > 0 && i.Attempts[0].Outcome != "" {
			return true
		}
	}
	return false
}

// fixture is a link to a stand-in through a proxy that can inject faults.
type fixture struct {
	*listener
	agent  *workerstandin.Agent
	server *httptest.Server
	link   *worker.Link
	proxy  func(next http.Handler, w http.ResponseWriter, r *http.Request)
}

func newFixture(c *qt.C) *fixture {
	f := &fixture{listener: &listener{results: map[task.AttemptID][]worker.Result{}}, agent: workerstandin.New("w1", capacity)}
	inner := f.agent.Handler()
	f.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		proxy := f.proxy
		f.mu.Unlock()
		if proxy != nil {
			proxy(inner, w, r)
			return
		}
		inner.ServeHTTP(w, r)
	}))
	c.Cleanup(func() {
		f.link.Close()
		f.agent.Close()
		f.server.CloseClientConnections()
		f.server.Close()
		http.DefaultTransport.(*http.Transport).CloseIdleConnections()
		goleak.VerifyNone(c)
	})
	f.link = f.open(1, 1, f.listener)
	f.waitFor(c, "an inventory", func() bool { return len(f.inventories) > 0 })
	return f
}

func (f *fixture) open(epoch, session uint64, l worker.Listener) *worker.Link {
	return worker.Open(worker.LinkOptions{Worker: "w1", Owner: "e1", Epoch: epoch, Session: session,
		Address: strings.TrimPrefix(f.server.URL, "http://")}, l)
}

func (f *fixture) setProxy(proxy func(next http.Handler, w http.ResponseWriter, r *http.Request)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proxy = proxy
}

func start(id string, length time.Duration) worker.Command {
	return worker.Command{Verb: worker.Start, Attempt: task.AttemptID{Work: task.Key{Team: "domes", ID: id}, Number: 1},
		Size: task.Size{Processors: 1000, Slots: 1}, RunTime: length, Payload: []byte(id)}
}

func TestLostAnswerDoesNotStartAttemptTwice(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	f.agent.SetFaults(workerstandin.Faults{LoseAnswers: 3})
	s := start("x", time.Millisecond)
	c.Assert(f.link.Send(s), qt.IsNil)
	f.waitFor(c, "the answer", func() bool { return len(f.results[s.Attempt]) == 1 })
	f.waitFor(c, "the end", f.hasEnd)
	c.Assert(f.agent.Audit().Starts[s.Attempt.String()], qt.Equals, 1)
	c.Assert(f.results[s.Attempt][0].Refused, qt.Equals, "")
}

// An owner may renew leases at first and then no longer: the next start is
// refused, the running attempt continues under its present lease, and other
// commands are executed.
func TestNoStartWhileRenewalIsNotAllowed(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	var length atomic.Int64
	length.Store(int64(worker.LeaseDuration))
	var untils []time.Duration
	f.setProxy(func(next http.Handler, w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == worker.CommandsPath {
			var b worker.Batch
			c.Check(json.Unmarshal([]byte(readBody(r)), &b), qt.IsNil)
			f.mu.Lock()
			untils = append(untils, b.Until)
			f.mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
	l := &listener{results: map[task.AttemptID][]worker.Result{}}
	link := worker.Open(worker.LinkOptions{Worker: "w1", Owner: "e1", Epoch: 2, Session: 1, Address: strings.TrimPrefix(f.server.URL, "http://"),
		Renewal: func() time.Duration { return time.Duration(length.Load()) }}, l)
	defer link.Close()
	answered := func(id task.AttemptID) (results []worker.Result) {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.results[id]
	}
	first, second := start("x", time.Hour), start("y", time.Hour)
	c.Assert(link.Send(first), qt.IsNil)
	f.waitFor(c, "the first start", func() bool { return len(answered(first.Attempt)) == 1 })
	length.Store(0)
	c.Assert(link.Send(second), qt.IsNil)
	f.waitFor(c, "the second start", func() bool { return len(answered(second.Attempt)) == 1 })
	c.Assert(answered(first.Attempt)[0].Refused, qt.Equals, "")
	c.Assert(answered(second.Attempt)[0].Refused, qt.Equals, worker.RefusedLate)
	c.Assert(f.agent.Audit().Running, qt.DeepEquals, []string{first.Attempt.String()})
	f.mu.Lock()
	c.Assert(untils[len(untils)-1], qt.Equals, untils[len(untils)-2])
	f.mu.Unlock()
	c.Assert(link.Send(worker.Command{Verb: worker.Stop, Attempt: first.Attempt}), qt.IsNil)
	f.waitFor(c, "the stop", func() bool { return len(f.agent.Audit().Running) == 0 })
}

// A batch delayed in the network arrives after its repeat was executed and the
// outcome of the attempt was dropped. It must not start the attempt again.
func TestDelayedBatchStartsNothing(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	late := make(chan func(), 1)
	f.setProxy(func(next http.Handler, w http.ResponseWriter, r *http.Request) {
		if len(late) > 0 || !hasStart(r) {
			next.ServeHTTP(w, r)
			return
		}
		body := readBody(r)
		late <- func() {
			again := httptest.NewRequest(http.MethodPost, worker.CommandsPath, strings.NewReader(body))
			next.ServeHTTP(httptest.NewRecorder(), again)
		}
		panic(http.ErrAbortHandler)
	})
	s := start("x", time.Millisecond)
	c.Assert(f.link.Send(s), qt.IsNil)
	f.waitFor(c, "the end", f.hasEnd)
	forget := worker.Command{Verb: worker.Forget, Attempt: s.Attempt}
	c.Assert(f.link.Send(forget), qt.IsNil)
	f.waitFor(c, "the acknowledgement", func() bool { return len(f.results[s.Attempt]) == 2 })
	(<-late)()
	c.Assert(f.agent.Audit().Starts[s.Attempt.String()], qt.Equals, 1)
}

func TestRestartReportsUnansweredCommands(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	f.setProxy(loseAnswersToStarts)
	// The first batch of this link is empty and goes through the proxy too.
	link := f.open(2, 1, f.listener)
	defer link.Close()
	f.waitFor(c, "its inventory", func() bool { return len(f.inventories) > 1 })
	s := start("x", time.Minute)
	c.Assert(link.Send(s), qt.IsNil)
	f.waitFor(c, "the start", func() bool { return f.agent.Audit().Starts[s.Attempt.String()] == 1 })
	f.agent.Restart()
	f.setProxy(nil)
	f.waitFor(c, "the unanswered command", func() bool { return len(f.unanswered) == 1 })
	f.waitFor(c, "another inventory", func() bool {
		return f.inventories[len(f.inventories)-1].Instance != f.inventories[0].Instance
	})
	c.Assert(f.agent.Audit().Starts[s.Attempt.String()], qt.Equals, 1)
}

func TestLeavingWorkerRefusesQueuedStart(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	f.link.SetLeaving(true)
	s := start("x", time.Minute)
	c.Assert(f.link.Send(s), qt.IsNil)
	f.waitFor(c, "a refusal", func() bool { return len(f.results[s.Attempt]) == 1 })
	c.Assert(f.results[s.Attempt][0].Refused, qt.Equals, worker.RefusedLeaving)
	c.Assert(f.agent.Audit().Starts, qt.HasLen, 0)
}

func TestStaleStartIsRefused(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	f.setProxy(func(http.Handler, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	s := start("x", time.Minute)
	c.Assert(f.link.Send(s), qt.IsNil)
	f.waitFor(c, "a report of silence", func() bool { return f.longestSilence > 2*time.Second })
	f.setProxy(nil)
	f.waitFor(c, "a refusal", func() bool { return len(f.results[s.Attempt]) == 1 })
	c.Assert(f.results[s.Attempt][0].Refused, qt.Equals, worker.RefusedLate)
	c.Assert(f.agent.Audit().Starts, qt.HasLen, 0)
}

func TestHigherEpochFencesEarlierLink(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	second := &listener{results: map[task.AttemptID][]worker.Result{}}
	link := f.open(2, 1, second)
	defer link.Close()
	second.waitFor(c, "an inventory", func() bool { return len(second.inventories) > 0 })
	s := start("x", time.Minute)
	c.Assert(f.link.Send(s), qt.IsNil)
	f.waitFor(c, "a report of fencing", func() bool { return f.fencedCount > 0 })
	c.Assert(f.agent.Audit().Starts, qt.HasLen, 0)
}

func TestUnresponsiveWorkerIsAdoptedAgain(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	f.agent.SetFaults(workerstandin.Faults{Silent: true})
	f.waitFor(c, "a report of silence", func() bool { return f.longestSilence > 0 })
	before := len(f.inventories)
	f.agent.SetFaults(workerstandin.Faults{})
	f.waitFor(c, "another inventory", func() bool { return len(f.inventories) > before })
}

// The list of workers may still name one whose address another worker has by now. What that one
// lists must not count as the state of the first, whose attempts may run on under their leases
// (TWICE).
func TestAnotherWorkerAtTheAddressIsNotAdopted(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	s := start("x", time.Hour)
	c.Assert(f.link.Send(s), qt.IsNil)
	f.waitFor(c, "the start", func() bool { return len(f.results[s.Attempt]) == 1 })
	l := &listener{results: map[task.AttemptID][]worker.Result{}}
	link := worker.Open(worker.LinkOptions{Worker: "w0", Owner: "e1", Epoch: 2, Session: 1, Address: strings.TrimPrefix(f.server.URL, "http://")}, l)
	defer link.Close()
	l.waitFor(c, "silence", func() bool { return l.longestSilence > 0 || len(l.inventories) > 0 })
	l.mu.Lock()
	c.Assert(l.inventories, qt.HasLen, 0)
	l.mu.Unlock()
	// The worker that is there goes on with its own owner.
	second := start("y", time.Hour)
	c.Assert(f.link.Send(second), qt.IsNil)
	f.waitFor(c, "the next start", func() bool { return len(f.results[second.Attempt]) == 1 })
	f.mu.Lock()
	c.Assert(f.results[second.Attempt][0].Refused, qt.Equals, "")
	c.Assert(f.fencedCount, qt.Equals, 0)
	f.mu.Unlock()
}

// An agent of an earlier version doesn't check which worker is meant. Its inventory must not be
// taken for that of another worker (TWICE).
func TestInventoryOfAnotherWorkerIsRejected(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c.Check(json.NewEncoder(w).Encode(worker.Inventory{Worker: "w1", Instance: "a"}), qt.IsNil)
	}))
	defer server.Close()
	client := worker.NewClient(strings.TrimPrefix(server.URL, "http://"))
	defer client.Close()
	_, err := client.Adopt(context.Background(), worker.Adopt{Worker: "w0", Owner: "e1", Epoch: 1, Session: 1})
	c.Assert(err, qt.ErrorIs, worker.ErrOtherWorker)
	i, err := client.Adopt(context.Background(), worker.Adopt{Worker: "w1", Owner: "e1", Epoch: 1, Session: 1})
	c.Assert(err, qt.IsNil)
	c.Assert(i.Instance, qt.Equals, "a")
}

func TestAdoptFailsWithoutAgent(t *testing.T) {
	c := qt.New(t)
	client := worker.NewClient("127.0.0.1:1")
	defer client.Close()
	_, err := client.Adopt(context.Background(), worker.Adopt{})
	c.Assert(err, qt.IsNotNil)
}

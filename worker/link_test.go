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

// patience bounds every wait; it is no measure of speed.
const patience = 20 * time.Second

var capacity = task.Size{Processors: 4000, Memory: 4 << 30, Slots: 4}

// listener notes what happens on a link.
type listener struct {
	mu       sync.Mutex
	adopted  []worker.Inventory
	obeyed   map[task.AttemptID][]worker.Result
	doubted  []worker.Command
	happened []worker.Event
	silent   time.Duration
	fenced   int
}

func (l *listener) HandleInventory(_ *worker.Link, i worker.Inventory) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adopted = append(l.adopted, i)
}

func (l *listener) HandleResult(_ *worker.Link, c worker.Command, r worker.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.obeyed[c.Attempt] = append(l.obeyed[c.Attempt], r)
}

func (l *listener) HandleUnanswered(_ *worker.Link, c worker.Command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.doubted = append(l.doubted, c)
}

func (l *listener) HandleEvents(_ *worker.Link, events []worker.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.happened = append(l.happened, events...)
}

func (l *listener) HandleSilence(_ *worker.Link, since time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = max(l.silent, since)
}

func (l *listener) HandleFenced(*worker.Link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fenced++
}

// until waits for a condition on what was noted.
func (l *listener) until(c *qt.C, what string, condition func() bool) {
	deadline := time.Now().Add(patience)
	for time.Now().Before(deadline) {
		l.mu.Lock()
		ok := condition()
		l.mu.Unlock()
		if ok {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.Fatalf("never seen: %s", what)
}

// ended reports whether an end was told, by an event or by an inventory that
// came after it.
func (l *listener) ended() bool {
	if len(l.happened) > 0 {
		return true
	}
	for _, i := range l.adopted {
		if len(i.Attempts) > 0 && i.Attempts[0].Outcome != "" {
			return true
		}
	}
	return false
}

// fixture is a link to a stand-in through a front that can disturb it.
type fixture struct {
	*listener
	agent  *workerstandin.Agent
	server *httptest.Server
	link   *worker.Link
	front  func(next http.Handler, w http.ResponseWriter, r *http.Request)
}

func newFixture(c *qt.C) *fixture {
	f := &fixture{listener: &listener{obeyed: map[task.AttemptID][]worker.Result{}}, agent: workerstandin.New("w1", capacity)}
	inner := f.agent.Handler()
	f.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		front := f.front
		f.mu.Unlock()
		if front != nil {
			front(inner, w, r)
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
	f.until(c, "an inventory", func() bool { return len(f.adopted) > 0 })
	return f
}

func (f *fixture) open(epoch, session uint64, l worker.Listener) *worker.Link {
	return worker.Open(worker.LinkOptions{Owner: "e1", Epoch: epoch, Session: session,
		Address: strings.TrimPrefix(f.server.URL, "http://")}, l)
}

func (f *fixture) setFront(front func(next http.Handler, w http.ResponseWriter, r *http.Request)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.front = front
}

func start(id string, length time.Duration) worker.Command {
	return worker.Command{Verb: worker.Start, Attempt: task.AttemptID{Work: task.Key{Team: "domes", ID: id}, Number: 1},
		Size: task.Size{Processors: 1000, Slots: 1}, RunTime: length, Payload: []byte(id)}
}

func TestLostAnswersStartNothingTwice(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	f.agent.SetFaults(workerstandin.Faults{LoseAnswers: 3})
	s := start("x", time.Millisecond)
	c.Assert(f.link.Send(s), qt.IsNil)
	f.until(c, "the answer", func() bool { return len(f.obeyed[s.Attempt]) == 1 })
	f.until(c, "the end", f.ended)
	c.Assert(f.agent.Audit().Starts[s.Attempt.String()], qt.Equals, 1)
	c.Assert(f.obeyed[s.Attempt][0].Refused, qt.Equals, "")
}

// TestOwnerThatMayNotRenewStartsNothing lets an owner renew, and then not: a start is
// refused, what runs goes on under the lease that it has, and other commands are
// carried out.
func TestOwnerThatMayNotRenewStartsNothing(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	var length atomic.Int64
	length.Store(int64(worker.LeaseDuration))
	var untils []time.Duration
	f.setFront(func(next http.Handler, w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == worker.CommandsPath {
			var b worker.Batch
			c.Check(json.Unmarshal([]byte(bodyOf(r)), &b), qt.IsNil)
			f.mu.Lock()
			untils = append(untils, b.Until)
			f.mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
	l := &listener{obeyed: map[task.AttemptID][]worker.Result{}}
	link := worker.Open(worker.LinkOptions{Owner: "e1", Epoch: 2, Session: 1, Address: strings.TrimPrefix(f.server.URL, "http://"),
		Renewal: func() time.Duration { return time.Duration(length.Load()) }}, l)
	defer link.Close()
	answered := func(id task.AttemptID) (results []worker.Result) {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.obeyed[id]
	}
	first, second := start("x", time.Hour), start("y", time.Hour)
	c.Assert(link.Send(first), qt.IsNil)
	f.until(c, "the first start", func() bool { return len(answered(first.Attempt)) == 1 })
	length.Store(0)
	c.Assert(link.Send(second), qt.IsNil)
	f.until(c, "the second start", func() bool { return len(answered(second.Attempt)) == 1 })
	c.Assert(answered(first.Attempt)[0].Refused, qt.Equals, "")
	c.Assert(answered(second.Attempt)[0].Refused, qt.Equals, worker.RefusedLate)
	c.Assert(f.agent.Audit().Running, qt.DeepEquals, []string{first.Attempt.String()})
	f.mu.Lock()
	c.Assert(untils[len(untils)-1], qt.Equals, untils[len(untils)-2])
	f.mu.Unlock()
	c.Assert(link.Send(worker.Command{Verb: worker.Stop, Attempt: first.Attempt}), qt.IsNil)
	f.until(c, "the stop", func() bool { return len(f.agent.Audit().Running) == 0 })
}

// A batch that something between the two ends held back arrives after its repeat
// was carried out and the end of the attempt forgotten.
func TestBatchThatArrivesLateStartsNothing(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	late := make(chan func(), 1)
	f.setFront(func(next http.Handler, w http.ResponseWriter, r *http.Request) {
		if len(late) > 0 || !hasStart(r) {
			next.ServeHTTP(w, r)
			return
		}
		body := bodyOf(r)
		late <- func() {
			again := httptest.NewRequest(http.MethodPost, worker.CommandsPath, strings.NewReader(body))
			next.ServeHTTP(httptest.NewRecorder(), again)
		}
		panic(http.ErrAbortHandler)
	})
	s := start("x", time.Millisecond)
	c.Assert(f.link.Send(s), qt.IsNil)
	f.until(c, "the end", f.ended)
	forget := worker.Command{Verb: worker.Forget, Attempt: s.Attempt}
	c.Assert(f.link.Send(forget), qt.IsNil)
	f.until(c, "the acknowledgement", func() bool { return len(f.obeyed[s.Attempt]) == 2 })
	(<-late)()
	c.Assert(f.agent.Audit().Starts[s.Attempt.String()], qt.Equals, 1)
}

func TestRestartPutsUnansweredCommandsInDoubt(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	f.setFront(loseAnswersToStarts)
	// The first batch of this link, which is empty, meets the front too.
	link := f.open(2, 1, f.listener)
	defer link.Close()
	f.until(c, "its inventory", func() bool { return len(f.adopted) > 1 })
	s := start("x", time.Minute)
	c.Assert(link.Send(s), qt.IsNil)
	f.until(c, "the start", func() bool { return f.agent.Audit().Starts[s.Attempt.String()] == 1 })
	f.agent.Restart()
	f.setFront(nil)
	f.until(c, "doubt", func() bool { return len(f.doubted) == 1 })
	f.until(c, "another inventory", func() bool {
		return f.adopted[len(f.adopted)-1].Instance != f.adopted[0].Instance
	})
	c.Assert(f.agent.Audit().Starts[s.Attempt.String()], qt.Equals, 1)
}

func TestLeavingWorkerIsSentNoStartThatWaits(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	f.link.SetLeaving(true)
	s := start("x", time.Minute)
	c.Assert(f.link.Send(s), qt.IsNil)
	f.until(c, "a refusal", func() bool { return len(f.obeyed[s.Attempt]) == 1 })
	c.Assert(f.obeyed[s.Attempt][0].Refused, qt.Equals, worker.RefusedLeaving)
	c.Assert(f.agent.Audit().Starts, qt.HasLen, 0)
}

func TestStartThatIsLongUnderWayIsRefused(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	f.setFront(func(http.Handler, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	s := start("x", time.Minute)
	c.Assert(f.link.Send(s), qt.IsNil)
	f.until(c, "silence", func() bool { return f.silent > 2*time.Second })
	f.setFront(nil)
	f.until(c, "a refusal", func() bool { return len(f.obeyed[s.Attempt]) == 1 })
	c.Assert(f.obeyed[s.Attempt][0].Refused, qt.Equals, worker.RefusedLate)
	c.Assert(f.agent.Audit().Starts, qt.HasLen, 0)
}

func TestLaterSessionFencesEarlierOne(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	second := &listener{obeyed: map[task.AttemptID][]worker.Result{}}
	link := f.open(2, 1, second)
	defer link.Close()
	second.until(c, "an inventory", func() bool { return len(second.adopted) > 0 })
	s := start("x", time.Minute)
	c.Assert(f.link.Send(s), qt.IsNil)
	f.until(c, "a fence", func() bool { return f.fenced > 0 })
	c.Assert(f.agent.Audit().Starts, qt.HasLen, 0)
}

func TestSilentWorkerIsAdoptedAgain(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	f.agent.SetFaults(workerstandin.Faults{Silent: true})
	f.until(c, "silence", func() bool { return f.silent > 0 })
	before := len(f.adopted)
	f.agent.SetFaults(workerstandin.Faults{})
	f.until(c, "another inventory", func() bool { return len(f.adopted) > before })
}

func TestClientAnswersWithoutListener(t *testing.T) {
	c := qt.New(t)
	client := worker.NewClient("127.0.0.1:1")
	defer client.Close()
	_, err := client.Adopt(context.Background(), worker.Adopt{})
	c.Assert(err, qt.IsNotNil)
}

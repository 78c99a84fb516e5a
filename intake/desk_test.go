package intake_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/workload"
)

// sender takes calls, or can't.
type sender struct {
	mu    sync.Mutex
	calls []intake.Call
	down  bool
	// sent is told of each call.
	sent chan intake.Call
}

func newSender() *sender { return &sender{sent: make(chan intake.Call, 100)} }

func (s *sender) Send(c intake.Call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.calls = append(s.calls, c)
	s.sent <- c
	return true
}

func newDesk(s *sender) *intake.Forwarder {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return intake.NewForwarder(s, logrus.NewEntry(log))
}

func submit(d *intake.Forwarder, timeout time.Duration) <-chan intake.Reply {
	replies := make(chan intake.Reply, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		replies <- d.Submit(ctx, workload.Job{ID: "j"})
	}()
	return replies
}

// handedIn returns a desk whose sender has taken the first copy of a call.
func handedIn() (*sender, *intake.Forwarder, <-chan intake.Reply, intake.Call) {
	s := newSender()
	d := newDesk(s)
	replies := submit(d, 3*time.Second)
	return s, d, replies, <-s.sent
}

func TestReplyComesBack(t *testing.T) {
	_, d, replies, c := handedIn()
	d.HandleAnswer(intake.Answer{Number: c.Number + 1, Reply: intake.Reply{Outcome: intake.NotFound}})
	d.HandleAnswer(intake.Answer{Number: c.Number, Reply: intake.Reply{Outcome: intake.Accepted}})
	qt.Assert(t, (<-replies).Outcome, qt.Equals, intake.Accepted)
}

// A new owner may not know the call: it is sent again at once, under its number.
func TestCallGoesToTheNextOwner(t *testing.T) {
	s, d, replies, first := handedIn()
	d.HandleAnswer(intake.Answer{Number: first.Number, NotOwner: true})
	begun := time.Now()
	d.ResendPending()
	second := <-s.sent
	qt.Assert(t, time.Since(begun) < 200*time.Millisecond, qt.IsTrue)
	qt.Assert(t, second.Number, qt.Equals, first.Number)
	d.HandleAnswer(intake.Answer{Number: first.Number, Reply: intake.Reply{Outcome: intake.Accepted}})
	qt.Assert(t, (<-replies).Outcome, qt.Equals, intake.Accepted)
}

// One copy of a call is refused, the other may be accepted: the caller is told
// nothing that may be false.
func TestRefusalOfOneCopyIsNoRefusal(t *testing.T) {
	s, d, replies, c := handedIn()
	d.ResendPending()
	<-s.sent
	d.HandleAnswer(intake.Answer{Number: c.Number, Reply: intake.Reply{Outcome: intake.Unavailable}})
	qt.Assert(t, (<-replies).Outcome, qt.Equals, intake.Unknown)
}

func TestRefusalOfTheOnlyCopy(t *testing.T) {
	_, d, replies, c := handedIn()
	d.HandleAnswer(intake.Answer{Number: c.Number, Reply: intake.Reply{Outcome: intake.Overloaded, RetryAfter: time.Second}})
	qt.Assert(t, (<-replies).Outcome, qt.Equals, intake.Overloaded)
}

// A call that can't leave the host is refused before the caller's time is up, with a
// time to come back.
func TestUnsentCallIsRefused(t *testing.T) {
	s := newSender()
	s.down = true
	reply := <-submit(newDesk(s), 3*time.Second)
	qt.Assert(t, reply.Outcome, qt.Equals, intake.Unavailable)
	qt.Assert(t, reply.RetryAfter > 0, qt.IsTrue)
}

// Of a call without a reply nothing is known.
func TestSentCallWithoutAReply(t *testing.T) {
	reply := <-submit(newDesk(newSender()), 300*time.Millisecond)
	qt.Assert(t, reply.Outcome, qt.Equals, intake.Unknown)
}

func TestOlderCatalogueIsIgnored(t *testing.T) {
	d := newDesk(newSender())
	qt.Assert(t, d.SetCatalogue(workload.Catalogue{Version: 7}), qt.IsTrue)
	qt.Assert(t, d.SetCatalogue(workload.Catalogue{Version: 5}), qt.IsFalse)
	c, ok := d.Catalogue()
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, c.Version, qt.Equals, int64(7))
}

// The store is silent, so that a call is sent again before its owner refuses it. Once both
// copies are refused, the caller is told so: a call of which nothing is known can't be
// tried again.
func TestRefusalOfAllCopies(t *testing.T) {
	s, d, replies, first := handedIn()
	<-s.sent
	refused := intake.Answer{Number: first.Number, Reply: intake.Reply{Outcome: intake.Unavailable, RetryAfter: time.Second}}
	d.HandleAnswer(refused)
	select {
	case reply := <-replies:
		t.Fatalf("told %+v while a copy has no answer", reply)
	case <-time.After(50 * time.Millisecond):
	}
	d.HandleAnswer(refused)
	qt.Assert(t, (<-replies).Outcome, qt.Equals, intake.Unavailable)
}

// A host that has not become the owner yet answers that it took nothing. That is no reason
// to send the call at once again, and none to doubt the refusal of another copy.
func TestCopyThatWasNotTakenHasNoEffect(t *testing.T) {
	s, d, replies, c := handedIn()
	d.HandleAnswer(intake.Answer{Number: c.Number, NotOwner: true})
	select {
	case <-s.sent:
		t.Fatal("sent again at once")
	case <-time.After(50 * time.Millisecond):
	}
	d.ResendPending()
	<-s.sent
	d.HandleAnswer(intake.Answer{Number: c.Number, Reply: intake.Reply{Outcome: intake.Unavailable, RetryAfter: time.Second}})
	qt.Assert(t, (<-replies).Outcome, qt.Equals, intake.Unavailable)
}

// A host is killed with a call on its way, and starts again. The owner's answer to that call
// is none to the first call of the new process: its caller would be told that its job was
// accepted, which nobody has recorded.
func TestAnswerToAnEarlierProcessIsDropped(t *testing.T) {
	c := qt.New(t)
	_, _, _, earlier := handedIn()
	_, later, replies, call := handedIn()
	later.HandleAnswer(intake.Answer{Number: earlier.Number, Reply: intake.Reply{Outcome: intake.Accepted}})
	select {
	case r := <-replies:
		t.Fatalf("answered %v", r)
	case <-time.After(50 * time.Millisecond):
	}
	later.HandleAnswer(intake.Answer{Number: call.Number, Reply: intake.Reply{Outcome: intake.NotFound}})
	c.Assert((<-replies).Outcome, qt.Equals, intake.NotFound)
}

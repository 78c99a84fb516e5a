package intake_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/workload"
)

// fakeSender records calls, or refuses them while down.
type fakeSender struct {
	mu    sync.Mutex
	calls []intake.Call
	down  bool
	// sent receives each call.
	sent chan intake.Call
}

func newFakeSender() *fakeSender { return &fakeSender{sent: make(chan intake.Call, 100)} }

func (s *fakeSender) Send(c intake.Call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.calls = append(s.calls, c)
	s.sent <- c
	return true
}

func newForwarder(s *fakeSender) *intake.Forwarder {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return intake.NewForwarder(s, logrus.NewEntry(log))
}

func submit(f *intake.Forwarder, timeout time.Duration) <-chan intake.Reply {
	replies := make(chan intake.Reply, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		replies <- f.Submit(ctx, intake.Credential{}, workload.Job{ID: "j"})
	}()
	return replies
}

// submitOne returns a forwarder whose sender has accepted the first copy of a call.
func submitOne() (*fakeSender, *intake.Forwarder, <-chan intake.Reply, intake.Call) {
	s := newFakeSender()
	f := newForwarder(s)
	replies := submit(f, 3*time.Second)
	return s, f, replies, <-s.sent
}

func TestReplyReachesCaller(t *testing.T) {
	_, f, replies, c := submitOne()
	f.HandleAnswer(intake.Answer{Number: c.Number + 1, Reply: intake.Reply{Outcome: intake.NotFound}})
	f.HandleAnswer(intake.Answer{Number: c.Number, Reply: intake.Reply{Outcome: intake.Accepted}})
	qt.Assert(t, (<-replies).Outcome, qt.Equals, intake.Accepted)
}

// A new owner may not know a pending call, so it must be sent again at once, under its
// number.
func TestPendingCallIsResentToNewOwner(t *testing.T) {
	s, f, replies, first := submitOne()
	f.HandleAnswer(intake.Answer{Number: first.Number, NotOwner: true})
	begun := time.Now()
	f.ResendPending()
	second := <-s.sent
	qt.Assert(t, time.Since(begun) < 200*time.Millisecond, qt.IsTrue)
	qt.Assert(t, second.Number, qt.Equals, first.Number)
	f.HandleAnswer(intake.Answer{Number: first.Number, Reply: intake.Reply{Outcome: intake.Accepted}})
	qt.Assert(t, (<-replies).Outcome, qt.Equals, intake.Accepted)
}

// One copy of a call is refused, but another may still be accepted: the caller must not be
// told that the call had no effect.
func TestRefusalOfOneCopyIsNotFinal(t *testing.T) {
	s, f, replies, c := submitOne()
	f.ResendPending()
	<-s.sent
	f.HandleAnswer(intake.Answer{Number: c.Number, Reply: intake.Reply{Outcome: intake.Unavailable}})
	qt.Assert(t, (<-replies).Outcome, qt.Equals, intake.Unknown)
}

func TestRefusalOfTheOnlyCopy(t *testing.T) {
	_, f, replies, c := submitOne()
	f.HandleAnswer(intake.Answer{Number: c.Number, Reply: intake.Reply{Outcome: intake.Overloaded, RetryAfter: time.Second}})
	qt.Assert(t, (<-replies).Outcome, qt.Equals, intake.Overloaded)
}

// A call that cannot be sent is refused, with a retry time, before the caller's timeout
// expires.
func TestUnsentCallIsRefused(t *testing.T) {
	s := newFakeSender()
	s.down = true
	reply := <-submit(newForwarder(s), 3*time.Second)
	qt.Assert(t, reply.Outcome, qt.Equals, intake.Unavailable)
	qt.Assert(t, reply.RetryAfter > 0, qt.IsTrue)
}

// A call that was sent and got no reply has an unknown outcome.
func TestSentCallWithoutReplyIsUnknown(t *testing.T) {
	reply := <-submit(newForwarder(newFakeSender()), 300*time.Millisecond)
	qt.Assert(t, reply.Outcome, qt.Equals, intake.Unknown)
}

func TestOlderCatalogueIsIgnored(t *testing.T) {
	f := newForwarder(newFakeSender())
	qt.Assert(t, f.SetCatalogue(workload.Catalogue{Version: 7}), qt.IsTrue)
	qt.Assert(t, f.SetCatalogue(workload.Catalogue{Version: 5}), qt.IsFalse)
	c, ok := f.Catalogue()
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, c.Version, qt.Equals, int64(7))
}

// The store does not respond, so a call is sent again before the owner refuses it. Once
// both copies are refused, the caller must get the refusal: it cannot safely retry a call
// of unknown outcome.
func TestRefusalOfAllCopies(t *testing.T) {
	s, f, replies, first := submitOne()
	<-s.sent
	refused := intake.Answer{Number: first.Number, Reply: intake.Reply{Outcome: intake.Unavailable, RetryAfter: time.Second}}
	f.HandleAnswer(refused)
	select {
	case reply := <-replies:
		t.Fatalf("replied %+v while a copy has no answer", reply)
	case <-time.After(50 * time.Millisecond):
	}
	f.HandleAnswer(refused)
	qt.Assert(t, (<-replies).Outcome, qt.Equals, intake.Unavailable)
}

// A host that does not own the cell yet answers that it did not process a copy. That must
// neither resend the call at once nor hold back the refusal of the other copy.
func TestNotOwnerAnswerDoesNotHoldBackRefusal(t *testing.T) {
	s, f, replies, c := submitOne()
	f.HandleAnswer(intake.Answer{Number: c.Number, NotOwner: true})
	select {
	case <-s.sent:
		t.Fatal("sent again at once")
	case <-time.After(50 * time.Millisecond):
	}
	f.ResendPending()
	<-s.sent
	f.HandleAnswer(intake.Answer{Number: c.Number, Reply: intake.Reply{Outcome: intake.Unavailable, RetryAfter: time.Second}})
	qt.Assert(t, (<-replies).Outcome, qt.Equals, intake.Unavailable)
}

// A host is killed with a call in flight, and restarted. The owner's answer to that call
// must not be taken for the answer to the first call of the new process, whose caller would
// be told that its job was accepted although nobody has recorded it.
func TestAnswerToEarlierProcessIsDropped(t *testing.T) {
	c := qt.New(t)
	_, _, _, earlierCall := submitOne()
	_, laterForwarder, replies, call := submitOne()
	laterForwarder.HandleAnswer(intake.Answer{Number: earlierCall.Number, Reply: intake.Reply{Outcome: intake.Accepted}})
	select {
	case r := <-replies:
		t.Fatalf("replied %v to the later process's call", r)
	case <-time.After(50 * time.Millisecond):
	}
	laterForwarder.HandleAnswer(intake.Answer{Number: call.Number, Reply: intake.Reply{Outcome: intake.NotFound}})
	c.Assert((<-replies).Outcome, qt.Equals, intake.NotFound)
}

// A job runs although its cancellation was acknowledged. The log must tell with which outcome,
// and by which tenure, or a replaced owner can't be told from one that was asked too early.
func TestCancellationIsLoggedWithItsOwner(t *testing.T) {
	c := qt.New(t)
	s := newFakeSender()
	log, lines := logtest.NewNullLogger()
	f := intake.NewForwarder(s, logrus.NewEntry(log))
	go func() {
		call := <-s.sent
		f.HandleAnswer(intake.Answer{Number: call.Number, Reply: intake.Reply{Outcome: intake.NotFound, Fence: 7}})
	}()
	c.Assert(f.Cancel(context.Background(), intake.Credential{}, "q", "j").Outcome, qt.Equals, intake.NotFound)
	line := lines.LastEntry()
	c.Assert(line, qt.IsNotNil)
	c.Assert(line.Data["job"], qt.Equals, "j")
	c.Assert(line.Data["outcome"], qt.Equals, intake.NotFound)
	c.Assert(line.Data["fence"], qt.Equals, int64(7))
}

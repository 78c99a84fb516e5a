package peer_test

import (
	"context"
	"io"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/proxytest"
	"github.com/vanillaquay/vanillaquay/ring"
)

// patience bounds every wait; it is no measure of speed.
const patience = 20 * time.Second

// pair is two members, of which a sends to b through a proxy.
type pair struct {
	a, b    *peer.Hub
	between *proxytest.Proxy
	got     chan string
}

func newPair(c *qt.C) *pair {
	p := &pair{got: make(chan string, 1<<16)}
	p.b = peer.NewHub("b", func(string) (string, bool) { return "", false })
	server := httptest.NewServer(p.b)
	p.between = proxytest.New(c, strings.TrimPrefix(server.URL, "http://"))
	p.a = peer.NewHub("a", func(string) (string, bool) { return p.between.Address(), true })
	c.Cleanup(func() {
		c.Check(p.a.Close(), qt.IsNil)
		c.Check(p.b.Close(), qt.IsNil)
		p.between.Close()
		server.Close()
		goleak.VerifyNone(c)
	})
	p.subscribe(c, peer.KindReport)
	p.a.Connect([]string{"b"})
	p.untilUp(c)
	return p
}

// subscribe puts the reasons of the reports that b receives into got.
func (p *pair) subscribe(c *qt.C, kind peer.Kind) {
	messages, err := p.b.Subscribe(context.Background(), string(kind))
	c.Assert(err, qt.IsNil)
	take := peer.NewHandler(func(_ string, r decision.Report) { p.got <- r.Reason })
	go func() {
		for m := range messages {
			if take(m) == nil {
				m.Ack()
			}
		}
	}()
}

func (p *pair) untilUp(c *qt.C) {
	until(c, "a connection", func() bool { return p.a.Reachable("b") && p.b.ReachableFrom("a") })
}

func (p *pair) send(reason string) error {
	return p.a.Send("b", peer.KindReport, decision.Report{Reason: reason})
}

// receive returns the next message that b got.
func (p *pair) receive(c *qt.C) string {
	select {
	case reason := <-p.got:
		return reason
	case <-time.After(patience):
		c.Fatal("nothing was received")
		return ""
	}
}

func until(c *qt.C, what string, condition func() bool) {
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			c.Fatalf("never seen: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestMessagesArriveInOrder(t *testing.T) {
	c := qt.New(t)
	p := newPair(c)
	for i := range 2000 {
		c.Assert(p.send(string(rune('a'+i%26))), qt.IsNil)
		if i%500 == 0 {
			until(c, "an empty queue", func() bool { return p.a.Stats().Links["b"].Waiting == 0 })
		}
	}
	for i := range 2000 {
		c.Assert(p.receive(c), qt.Equals, string(rune('a'+i%26)))
	}
}

func TestNothingIsTakenForAMemberWithoutConnection(t *testing.T) {
	c := qt.New(t)
	p := newPair(c)
	c.Assert(p.a.Send("nobody", peer.KindReport, decision.Report{}), qt.ErrorIs, peer.ErrDown)
	p.between.Cut(true)
	until(c, "the end of the connection", func() bool { return !p.a.Reachable("b") })
	c.Assert(p.send("x"), qt.ErrorIs, peer.ErrDown)
}

// What is between the two ends loses track of the open connection and passes on
// nothing more of it, while new connections work.
func TestSilentConnectionIsReplacedWithinFiveSeconds(t *testing.T) {
	c := qt.New(t)
	p := newPair(c)
	for range 2 {
		p.between.Blackhole(true, true)
		began := time.Now()
		until(c, "a message over a new connection", func() bool {
			if p.send("new") != nil {
				return false
			}
			select {
			case <-p.got:
				return true
			case <-time.After(20 * time.Millisecond):
				return false
			}
		})
		c.Assert(time.Since(began) < 5*time.Second, qt.IsTrue, qt.Commentf("replaced after %v", time.Since(began)))
		c.Logf("replaced after %v", time.Since(began).Round(time.Millisecond))
	}
}

func TestConnectionThatIsSilentInOneDirectionIsReplaced(t *testing.T) {
	for name, lost := range map[string]struct{ there, back bool }{"there": {true, false}, "back": {false, true}} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newPair(c)
			before := p.between.AcceptedCount()
			p.between.Blackhole(lost.there, lost.back)
			until(c, "a new connection", func() bool {
				return p.between.AcceptedCount() > before && p.a.Reachable("b") && p.b.ReachableFrom("a")
			})
			until(c, "an answer", func() bool { return p.send("x") == nil })
			p.receive(c)
		})
	}
}

// What an earlier connection still held when a new one took its place is never
// delivered, so that nothing overtakes a later message.
func TestMessagesOfEarlierConnectionAreNotDelivered(t *testing.T) {
	c := qt.New(t)
	p := newPair(c)
	p.between.Hold()
	c.Assert(p.send("early"), qt.IsNil)
	p.between.Blackhole(false, true)
	until(c, "a new connection", func() bool { return p.between.AcceptedCount() > 1 && p.a.Reachable("b") && p.b.ReachableFrom("a") })
	until(c, "a message", func() bool { return p.send("late") == nil })
	c.Assert(p.receive(c), qt.Equals, "late")
	p.between.Release()
	until(c, "another message", func() bool { return p.send("later") == nil })
	c.Assert(p.receive(c), qt.Equals, "later")
}

func TestFullQueueRefusesAtOnceAndOffersKeepTheLatest(t *testing.T) {
	c := qt.New(t)
	p := newPair(c)
	p.subscribe(c, peer.KindUsage)
	p.between.Pause(true)
	refused := false
	for range 20_000 {
		err := p.a.Send("b", peer.KindCommand, decision.Report{Body: make([]byte, 4096)})
		if err != nil {
			c.Assert(err, qt.ErrorIs, ring.ErrFull)
			refused = true
			break
		}
	}
	c.Assert(refused, qt.IsTrue)
	// Reports have room of their own, and an offer replaces the one before.
	c.Assert(p.send("report"), qt.IsNil)
	produced := 0
	for range 100 {
		c.Assert(p.a.SendLatest("b", peer.KindUsage, func() (any, bool) {
			produced++
			return decision.Report{Reason: "latest"}, true
		}), qt.IsNil)
	}
	p.between.Pause(false)
	// Each kind has a goroutine of its own at the receiver.
	got := []string{p.receive(c), p.receive(c)}
	slices.Sort(got)
	c.Assert(got, qt.DeepEquals, []string{"latest", "report"})
	c.Assert(produced, qt.Equals, 1)
	c.Assert(p.a.Stats().Links["b"].Refused[peer.KindCommand], qt.Equals, int64(1))
}

func TestSlowSubscriberHoldsUpNoOtherKind(t *testing.T) {
	c := qt.New(t)
	p := newPair(c)
	// Nobody takes what is subscribed to here.
	_, err := p.b.Subscribe(context.Background(), string(peer.KindCommand))
	c.Assert(err, qt.IsNil)
	for range 20_000 {
		until(c, "room", func() bool { return p.a.Send("b", peer.KindCommand, decision.Report{}) == nil })
	}
	until(c, "room", func() bool { return p.send("x") == nil })
	c.Assert(p.receive(c), qt.Equals, "x")
	until(c, "drops", func() bool { return p.b.Stats().Dropped[peer.KindCommand] > 0 })
}

// A link that bulk traffic fills lets a change of the configuration through, and its
// connection lasts.
func TestConfigurationPassesASaturatedLink(t *testing.T) {
	const bytesPerSecond, commands = 40_000, 40
	c := qt.New(t)
	p := newPair(c)
	p.subscribe(c, peer.KindConfiguration)
	p.between.LimitRate(bytesPerSecond)
	for range commands {
		c.Assert(p.a.Send("b", peer.KindCommand, decision.Report{Body: make([]byte, 48<<10)}), qt.IsNil)
	}
	until(c, "a command", func() bool { return p.b.Stats().Links["a"].Received[peer.KindCommand].Messages > 0 })
	for range 3 {
		began := time.Now()
		c.Assert(p.a.Send("b", peer.KindConfiguration, decision.Report{Reason: "change"}), qt.IsNil)
		c.Assert(p.receive(c), qt.Equals, "change")
		c.Assert(time.Since(began) < 4*time.Second, qt.IsTrue, qt.Commentf("received after %v", time.Since(began)))
		c.Logf("received after %v", time.Since(began).Round(time.Millisecond))
	}
	c.Assert(p.a.Stats().Links["b"].Waiting > 0, qt.IsTrue)
	c.Assert(p.between.AcceptedCount(), qt.Equals, 1)
}

// What lies between the two ends never holds more than the window of a link.
func TestLittleIsUnderWayWithoutConfirmation(t *testing.T) {
	const window = 8 << 10
	c := qt.New(t)
	p := newPair(c)
	p.between.Hold()
	for range 40 {
		c.Assert(p.a.Send("b", peer.KindCommand, decision.Report{Body: make([]byte, 48<<10)}), qt.IsNil)
	}
	until(c, "a new connection", func() bool { return p.between.AcceptedCount() > 1 })
	size := p.between.HeldBytes()
	c.Assert(size > 0 && size < window+1<<10, qt.IsTrue, qt.Commentf("%d bytes were under way", size))
}

func TestTrafficIsCountedByKindAndRegion(t *testing.T) {
	c := qt.New(t)
	p := newPair(c)
	c.Assert(p.send("x"), qt.IsNil)
	p.receive(c)
	until(c, "a count", func() bool { return p.a.Stats().Links["b"].Sent[peer.KindReport].Messages == 1 })
	c.Assert(p.b.Stats().Links["a"].Received[peer.KindReport].Messages, qt.Equals, int64(1))
}

var _ io.Closer = (*peer.Hub)(nil)

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

// waitTimeout bounds every wait; it is not a performance requirement.
const waitTimeout = 20 * time.Second

// pair holds two members, of which a sends to b through a proxy.
type pair struct {
	a, b     *peer.Hub
	proxy    *proxytest.Proxy
	received chan string
}

func newPair(c *qt.C) *pair {
	p := &pair{received: make(chan string, 1<<16)}
	p.b = peer.NewHub("b", func(string) (string, bool) { return "", false })
	server := httptest.NewServer(p.b)
	p.proxy = proxytest.New(c, strings.TrimPrefix(server.URL, "http://"))
	p.a = peer.NewHub("a", func(string) (string, bool) { return p.proxy.Address(), true })
	c.Cleanup(func() {
		c.Check(p.a.Close(), qt.IsNil)
		c.Check(p.b.Close(), qt.IsNil)
		p.proxy.Close()
		server.Close()
		goleak.VerifyNone(c)
	})
	p.subscribe(c, peer.KindReport)
	p.a.Connect([]string{"b"})
	p.waitConnected(c)
	return p
}

// subscribe forwards the reasons of the reports that b receives under a kind to received.
func (p *pair) subscribe(c *qt.C, kind peer.Kind) {
	messages, err := p.b.Subscribe(context.Background(), string(kind))
	c.Assert(err, qt.IsNil)
	handle := peer.NewHandler(func(_ string, r decision.Report) { p.received <- r.Reason })
	go func() {
		for m := range messages {
			if handle(m) == nil {
				m.Ack()
			}
		}
	}()
}

func (p *pair) waitConnected(c *qt.C) {
	waitFor(c, "a connection", func() bool { return p.a.Reachable("b") && p.b.ReachableFrom("a") })
}

func (p *pair) send(reason string) error {
	return p.a.Send("b", peer.KindReport, decision.Report{Reason: reason})
}

// receive returns the next message that b received.
func (p *pair) receive(c *qt.C) string {
	select {
	case reason := <-p.received:
		return reason
	case <-time.After(waitTimeout):
		c.Fatal("b received no message")
		return ""
	}
}

func waitFor(c *qt.C, what string, condition func() bool) {
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			c.Fatalf("timed out waiting for %s", what)
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
			waitFor(c, "an empty queue", func() bool { return p.a.Stats().Links["b"].Waiting == 0 })
		}
	}
	for i := range 2000 {
		c.Assert(p.receive(c), qt.Equals, string(rune('a'+i%26)))
	}
}

func TestSendWithoutConnectionFails(t *testing.T) {
	c := qt.New(t)
	p := newPair(c)
	c.Assert(p.a.Send("nobody", peer.KindReport, decision.Report{}), qt.ErrorIs, peer.ErrDown)
	p.proxy.Cut(true)
	waitFor(c, "the connection to close", func() bool { return !p.a.Reachable("b") })
	c.Assert(p.send("x"), qt.ErrorIs, peer.ErrDown)
}

// TestSilentConnectionIsReplacedWithinFiveSeconds guards against a middlebox that loses
// track of an open connection and drops all of its packets, while new connections work.
func TestSilentConnectionIsReplacedWithinFiveSeconds(t *testing.T) {
	c := qt.New(t)
	p := newPair(c)
	for range 2 {
		p.proxy.Blackhole(true, true)
		began := time.Now()
		waitFor(c, "a message over a new connection", func() bool {
			if p.send("new") != nil {
				return false
			}
			select {
			case <-p.received:
				return true
			case <-time.After(20 * time.Millisecond):
				return false
			}
		})
		c.Assert(time.Since(began) < 5*time.Second, qt.IsTrue, qt.Commentf("replaced after %v", time.Since(began)))
		c.Logf("replaced after %v", time.Since(began).Round(time.Millisecond))
	}
}

func TestConnectionSilentInOneDirectionIsReplaced(t *testing.T) {
	for name, dropped := range map[string]struct{ toTarget, fromTarget bool }{"to target": {true, false}, "from target": {false, true}} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newPair(c)
			before := p.proxy.AcceptedCount()
			p.proxy.Blackhole(dropped.toTarget, dropped.fromTarget)
			waitFor(c, "a new connection", func() bool {
				return p.proxy.AcceptedCount() > before && p.a.Reachable("b") && p.b.ReachableFrom("a")
			})
			waitFor(c, "a message to be accepted", func() bool { return p.send("x") == nil })
			p.receive(c)
		})
	}
}

// TestMessagesOfEarlierConnectionAreNotDelivered checks that messages still buffered in
// the network for an earlier connection are not delivered once a new connection has
// replaced it. Otherwise they would arrive after later messages.
func TestMessagesOfEarlierConnectionAreNotDelivered(t *testing.T) {
	c := qt.New(t)
	p := newPair(c)
	p.proxy.Hold()
	c.Assert(p.send("early"), qt.IsNil)
	p.proxy.Blackhole(false, true)
	waitFor(c, "a new connection", func() bool { return p.proxy.AcceptedCount() > 1 && p.a.Reachable("b") && p.b.ReachableFrom("a") })
	waitFor(c, "a message to be accepted", func() bool { return p.send("late") == nil })
	c.Assert(p.receive(c), qt.Equals, "late")
	p.proxy.Release()
	waitFor(c, "another message to be accepted", func() bool { return p.send("later") == nil })
	c.Assert(p.receive(c), qt.Equals, "later")
}

func TestFullQueueRejectsAndSendLatestReplaces(t *testing.T) {
	c := qt.New(t)
	p := newPair(c)
	p.subscribe(c, peer.KindUsage)
	p.proxy.Pause(true)
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
	// Reports have their own queue limit, and SendLatest replaces an earlier value.
	c.Assert(p.send("report"), qt.IsNil)
	produced := 0
	for range 100 {
		c.Assert(p.a.SendLatest("b", peer.KindUsage, func() (any, bool) {
			produced++
			return decision.Report{Reason: "latest"}, true
		}), qt.IsNil)
	}
	p.proxy.Pause(false)
	// The receiver handles each kind in its own goroutine, so the order may vary.
	got := []string{p.receive(c), p.receive(c)}
	slices.Sort(got)
	c.Assert(got, qt.DeepEquals, []string{"latest", "report"})
	c.Assert(produced, qt.Equals, 1)
	c.Assert(p.a.Stats().Links["b"].Refused[peer.KindCommand], qt.Equals, int64(1))
}

func TestSlowSubscriberDoesNotBlockOtherKinds(t *testing.T) {
	c := qt.New(t)
	p := newPair(c)
	// Nobody reads from this subscription.
	_, err := p.b.Subscribe(context.Background(), string(peer.KindCommand))
	c.Assert(err, qt.IsNil)
	for range 20_000 {
		waitFor(c, "space in the queue", func() bool { return p.a.Send("b", peer.KindCommand, decision.Report{}) == nil })
	}
	waitFor(c, "space in the queue", func() bool { return p.send("x") == nil })
	c.Assert(p.receive(c), qt.Equals, "x")
	waitFor(c, "dropped messages", func() bool { return p.b.Stats().Dropped[peer.KindCommand] > 0 })
}

// Load: many hosts send large messages to one that is behind. The number of queued messages alone
// doesn't bound their memory. Messages of other kinds still arrive.
func TestQueuedMessagesAreBoundedInBytes(t *testing.T) {
	const limit, size, messages = 1 << 20, 64 << 10, 40
	c := qt.New(t)
	p := newPair(c)
	p.b.MaxQueuedBytes = limit
	// Nobody reads from this subscription.
	_, err := p.b.Subscribe(context.Background(), string(peer.KindCommand))
	c.Assert(err, qt.IsNil)
	for range messages {
		c.Assert(p.a.Send("b", peer.KindCommand, decision.Report{Body: make([]byte, size)}), qt.IsNil)
	}
	waitFor(c, "all messages", func() bool { return p.b.Stats().Links["a"].Received[peer.KindCommand].Messages == messages })
	waitFor(c, "a message of another kind", func() bool { return p.send("x") == nil })
	c.Assert(p.receive(c), qt.Equals, "x")
	dropped := p.b.Stats().Dropped[peer.KindCommand]
	c.Assert(dropped, qt.Equals, int64(messages-(limit-1)/size))
}

// TestConfigurationPassesASaturatedLink checks that bulk traffic that saturates a link
// does not delay a change of the configuration for long, nor break the connection.
func TestConfigurationPassesASaturatedLink(t *testing.T) {
	const bytesPerSecond, commands = 40_000, 40
	c := qt.New(t)
	p := newPair(c)
	p.subscribe(c, peer.KindConfiguration)
	p.proxy.LimitRate(bytesPerSecond)
	for range commands {
		c.Assert(p.a.Send("b", peer.KindCommand, decision.Report{Body: make([]byte, 48<<10)}), qt.IsNil)
	}
	waitFor(c, "a command", func() bool { return p.b.Stats().Links["a"].Received[peer.KindCommand].Messages > 0 })
	for range 3 {
		began := time.Now()
		c.Assert(p.a.Send("b", peer.KindConfiguration, decision.Report{Reason: "change"}), qt.IsNil)
		c.Assert(p.receive(c), qt.Equals, "change")
		c.Assert(time.Since(began) < 4*time.Second, qt.IsTrue, qt.Commentf("received after %v", time.Since(began)))
		c.Logf("received after %v", time.Since(began).Round(time.Millisecond))
	}
	c.Assert(p.a.Stats().Links["b"].Waiting > 0, qt.IsTrue)
	c.Assert(p.proxy.AcceptedCount(), qt.Equals, 1)
}

// TestUnacknowledgedBytesAreBounded checks that a link never has more bytes in the
// network than its window.
func TestUnacknowledgedBytesAreBounded(t *testing.T) {
	const window = 8 << 10
	c := qt.New(t)
	p := newPair(c)
	p.proxy.Hold()
	for range 40 {
		c.Assert(p.a.Send("b", peer.KindCommand, decision.Report{Body: make([]byte, 48<<10)}), qt.IsNil)
	}
	waitFor(c, "a new connection", func() bool { return p.proxy.AcceptedCount() > 1 })
	size := p.proxy.HeldBytes()
	c.Assert(size > 0 && size < window+1<<10, qt.IsTrue, qt.Commentf("%d bytes were unacknowledged", size))
}

func TestTrafficIsCountedByKindAndRegion(t *testing.T) {
	c := qt.New(t)
	p := newPair(c)
	c.Assert(p.send("x"), qt.IsNil)
	p.receive(c)
	waitFor(c, "the message to be counted", func() bool { return p.a.Stats().Links["b"].Sent[peer.KindReport].Messages == 1 })
	c.Assert(p.b.Stats().Links["a"].Received[peer.KindReport].Messages, qt.Equals, int64(1))
}

var _ io.Closer = (*peer.Hub)(nil)

package peer_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/coder/websocket"
	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/budget"
	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/peer"
)

// startHub starts a hub to which members connect.
func startHub(c *qt.C, configure func(*peer.Hub)) (hub *peer.Hub, url string) {
	hub = peer.NewHub("b", func(string) (string, bool) { return "", false })
	configure(hub)
	server := httptest.NewServer(hub)
	c.Cleanup(server.Close)
	c.Cleanup(func() { c.Check(hub.Close(), qt.IsNil) })
	return hub, "ws" + strings.TrimPrefix(server.URL, "http")
}

// dialAs opens a connection as a member.
func dialAs(c *qt.C, url, member string) *websocket.Conn {
	connection, _, err := websocket.Dial(context.Background(), url, &websocket.DialOptions{HTTPHeader: http.Header{peer.MemberHeader: {member}}})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = connection.CloseNow() })
	return connection
}

// Guards against messages of several members that are read beyond the memory for them, and against
// a limit that cuts off members whose messages are small.
func TestUnfinishedMessagesAreDropped(t *testing.T) {
	const limit, members = 64 << 10, 8
	c := qt.New(t)
	memory := budget.New(limit)
	hub, url := startHub(c, func(h *peer.Hub) { h.Memory = memory })
	messages, err := hub.Subscribe(context.Background(), string(peer.KindReport))
	c.Assert(err, qt.IsNil)
	for i := range members {
		writer, err := dialAs(c, url, fmt.Sprint(i)).Writer(context.Background(), websocket.MessageBinary)
		c.Assert(err, qt.IsNil)
		// The hub may close the connection meanwhile.
		_, _ = io.WriteString(writer, strings.Repeat("x", limit/4))
	}
	waitFor(c, "dropped messages", func() bool { return memory.Stats().Dropped+memory.Stats().Refused > 0 })
	c.Check(memory.Stats().Held <= limit, qt.IsTrue)
	body, err := codec.Marshal(decision.Report{Reason: "small"})
	c.Assert(err, qt.IsNil)
	data, err := codec.Marshal([]any{[]any{reportCode, body}})
	c.Assert(err, qt.IsNil)
	c.Assert(dialAs(c, url, "small").Write(context.Background(), websocket.MessageBinary, data), qt.IsNil)
	m := <-messages
	m.Ack()
	c.Assert([]byte(m.Payload), qt.DeepEquals, body)
}

// Guards against counts that are kept for each name under which a client ever connected, and
// against a count that repeats after the member was forgotten.
func TestStrangersAreForgotten(t *testing.T) {
	const strangers = 5000
	c := qt.New(t)
	hub, url := startHub(c, func(*peer.Hub) {})
	dialAs(c, url, "known").CloseNow()
	waitFor(c, "a count", func() bool { return hub.AcceptedCount("known") > 0 })
	before := hub.AcceptedCount("known")
	for i := range strangers {
		_ = dialAs(c, url, fmt.Sprintf("stranger-%d", i)).CloseNow()
	}
	c.Check(hub.AcceptedCount("known"), qt.Equals, uint64(0))
	connection := dialAs(c, url, "known")
	waitFor(c, "another count", func() bool { return hub.AcceptedCount("known") > before })
	c.Assert(connection.CloseNow(), qt.IsNil)
	_, response, err := websocket.Dial(context.Background(), url, &websocket.DialOptions{HTTPHeader: http.Header{peer.MemberHeader: {strings.Repeat("x", 300)}}})
	c.Assert(err, qt.IsNotNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadRequest)
}

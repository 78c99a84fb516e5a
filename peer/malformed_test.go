package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/peer"
)

// reportCode is the code of peer.KindReport on the wire.
const reportCode = 4

// TestMalformedMessageDoesNotAffectOthers sends one batch in which some messages are
// malformed or of an unknown kind. The other messages must reach their subscriber.
func TestMalformedMessageDoesNotAffectOthers(t *testing.T) {
	c := qt.New(t)
	hub := peer.NewHub("b", func(string) (string, bool) { return "", false })
	server := httptest.NewServer(hub)
	defer server.Close()
	defer func() { c.Check(hub.Close(), qt.IsNil) }()
	messages, err := hub.Subscribe(context.Background(), string(peer.KindReport))
	c.Assert(err, qt.IsNil)
	got, ignored := make(chan string, 10), make(chan error, 10)
	handle := peer.NewHandler(func(_ string, r decision.Report) { got <- r.Reason })
	go func() {
		for m := range messages {
			if err := handle(m); err != nil {
				ignored <- err
			}
			m.Ack()
		}
	}()
	report := func(reason string) []byte {
		data, err := codec.Marshal(decision.Report{Status: decision.Placed, Reason: reason})
		c.Assert(err, qt.IsNil)
		return data
	}
	data, err := codec.Marshal([]any{
		[]any{reportCode, report("first")}, []any{reportCode, []byte{0xff}}, []any{reportCode, []byte{}}, []any{200, report("odd")},
		[]any{reportCode, []byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}}, []any{reportCode, report("last")},
	})
	c.Assert(err, qt.IsNil)
	connection, _, err := websocket.Dial(context.Background(), "ws"+strings.TrimPrefix(server.URL, "http"),
		&websocket.DialOptions{HTTPHeader: http.Header{peer.MemberHeader: {"a"}}})
	c.Assert(err, qt.IsNil)
	defer connection.CloseNow()
	c.Assert(connection.Write(context.Background(), websocket.MessageBinary, data), qt.IsNil)
	for _, want := range []string{"first", "last"} {
		select {
		case reason := <-got:
			c.Assert(reason, qt.Equals, want)
		case <-time.After(waitTimeout):
			t.Fatalf("the %s message was not received", want)
		}
	}
	for range 3 {
		c.Check(<-ignored, qt.ErrorMatches, "message .* of kind Report.*")
	}
}

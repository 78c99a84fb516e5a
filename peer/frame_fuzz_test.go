package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/coder/websocket"

	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/peer"
)

// FuzzFrames sends arbitrary bytes over an open connection to a hub, which must
// keep accepting connections.
func FuzzFrames(f *testing.F) {
	valid, err := codec.Marshal([]any{[]any{4, []byte{0xa0}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x81, 0x82, 0x18, 0xff, 0x40})
	hub := peer.NewHub("b", func(string) (string, bool) { return "", false })
	server := httptest.NewServer(hub)
	f.Cleanup(func() {
		if err := hub.Close(); err != nil {
			f.Error(err)
		}
		server.Close()
	})
	f.Fuzz(func(t *testing.T, data []byte) {
		connection, _, err := websocket.Dial(context.Background(), "ws"+strings.TrimPrefix(server.URL, "http"),
			&websocket.DialOptions{HTTPHeader: http.Header{peer.MemberHeader: {"a"}}})
		if err != nil {
			t.Fatal(err)
		}
		defer connection.CloseNow()
		if err := connection.Write(context.Background(), websocket.MessageBinary, data); err != nil {
			t.Fatal(err)
		}
		// The hub either answers the close or has already closed the connection.
		_ = connection.Close(websocket.StatusNormalClosure, "")
	})
}

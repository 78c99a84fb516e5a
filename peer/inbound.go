package peer

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/coder/websocket"
)

// maxMessageBytes is the maximum size of a received WebSocket message.
const maxMessageBytes = 32 << 20

// inbound is the connection that another member has opened to this one.
type inbound struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// ServeHTTP accepts a connection from another member.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	member := r.Header.Get(MemberHeader)
	if member == "" {
		http.Error(w, "header "+MemberHeader+" is missing", http.StatusBadRequest)
		return
	}
	if !h.tryAdd() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	defer h.goroutines.Done()
	ctx, cancel := context.WithCancel(h.ctx)
	defer cancel()
	silenceTimer := time.AfterFunc(SilenceTimeout, cancel)
	defer silenceTimer.Stop()
	connection, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		OnPingReceived: func(context.Context, []byte) bool {
			silenceTimer.Reset(SilenceTimeout)
			return true
		},
	})
	if err != nil {
		return
	}
	defer connection.CloseNow()
	connection.SetReadLimit(maxMessageBytes)
	release := h.replaceInbound(member, cancel)
	defer release()
	if h.OnAccept != nil {
		h.OnAccept(member)
	}
	h.read(ctx, connection, member, silenceTimer)
}

// replaceInbound closes the earlier connection of a member and returns a function
// that must be called at the end of the new one. No message of the earlier
// connection is delivered after replaceInbound returns.
func (h *Hub) replaceInbound(member string, cancel context.CancelFunc) (release func()) {
	current := &inbound{cancel: cancel, done: make(chan struct{})}
	h.mu.Lock()
	earlier := h.inbounds[member]
	h.inbounds[member] = current
	h.acceptedCounts[member]++
	h.mu.Unlock()
	if earlier != nil {
		earlier.cancel()
		<-earlier.done
	}
	return func() {
		h.mu.Lock()
		if h.inbounds[member] == current {
			delete(h.inbounds, member)
		}
		h.mu.Unlock()
		close(current.done)
	}
}

// read delivers messages from a connection until it fails or times out.
func (h *Hub) read(ctx context.Context, connection *websocket.Conn, member string, silenceTimer *time.Timer) {
	for {
		_, reader, err := connection.Reader(ctx)
		if err != nil {
			return
		}
		data, err := io.ReadAll(&progressReader{reader: reader, silenceTimer: silenceTimer})
		if err != nil || ctx.Err() != nil {
			return
		}
		frames, err := decodeFrames(data)
		if err != nil {
			return
		}
		h.traffic.countReceived(member, frames, len(data))
		for _, f := range frames {
			h.dispatch(member, f)
		}
	}
}

// progressReader resets the silence timer for every part of a message, so that a
// large message over a slow link counts as progress.
type progressReader struct {
	reader       io.Reader
	silenceTimer *time.Timer
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 {
		r.silenceTimer.Reset(SilenceTimeout)
	}
	return n, err
}

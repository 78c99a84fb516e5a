package peer

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/coder/websocket"
)

// maxFrame is the largest WebSocket message that is read, in bytes.
const maxFrame = 32 << 20

// inbound is the connection that a member has opened.
type inbound struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// ServeHTTP accepts the link of another member.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	member := r.Header.Get(MemberHeader)
	if member == "" {
		http.Error(w, "header "+MemberHeader+" is missing", http.StatusBadRequest)
		return
	}
	if !h.enter() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	defer h.duties.Done()
	ctx, cancel := context.WithCancel(h.ctx)
	defer cancel()
	silence := time.AfterFunc(SilenceTimeout, cancel)
	defer silence.Stop()
	connection, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		OnPingReceived: func(context.Context, []byte) bool {
			silence.Reset(SilenceTimeout)
			return true
		},
	})
	if err != nil {
		return
	}
	defer connection.CloseNow()
	connection.SetReadLimit(maxFrame)
	leave := h.replace(member, cancel)
	defer leave()
	if h.OnAccept != nil {
		h.OnAccept(member)
	}
	h.read(ctx, connection, member, silence)
}

// replace ends the earlier connection of a member, and returns what to call at
// the end of the new one. Nothing of the earlier one is delivered after replace
// returns.
func (h *Hub) replace(member string, cancel context.CancelFunc) (leave func()) {
	own := &inbound{cancel: cancel, done: make(chan struct{})}
	h.mu.Lock()
	earlier := h.inbounds[member]
	h.inbounds[member] = own
	h.opened[member]++
	h.mu.Unlock()
	if earlier != nil {
		earlier.cancel()
		<-earlier.done
	}
	return func() {
		h.mu.Lock()
		if h.inbounds[member] == own {
			delete(h.inbounds, member)
		}
		h.mu.Unlock()
		close(own.done)
	}
}

// read delivers what comes over a connection until it fails or falls silent.
func (h *Hub) read(ctx context.Context, connection *websocket.Conn, member string, silence *time.Timer) {
	for {
		_, reader, err := connection.Reader(ctx)
		if err != nil {
			return
		}
		data, err := io.ReadAll(&heard{reader: reader, silence: silence})
		if err != nil || ctx.Err() != nil {
			return
		}
		frames, err := decodeFrames(data)
		if err != nil {
			return
		}
		h.traffic.received(member, frames, len(data))
		for _, f := range frames {
			h.deliver(member, f)
		}
	}
}

// heard puts the end of a silence off with every part of a message, so that a
// large one over a slow link counts as progress.
type heard struct {
	reader  io.Reader
	silence *time.Timer
}

// Read implements io.Reader.
func (r *heard) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 {
		r.silence.Reset(SilenceTimeout)
	}
	return n, err
}

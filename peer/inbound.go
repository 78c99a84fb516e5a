package peer

import (
	"cmp"
	"context"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/budget"
)

const (
	// defaultMessageBytes is the default of Hub.MaxMessageBytes.
	defaultMessageBytes = 32 << 20
	// maxNameBytes bounds the name of a member.
	maxNameBytes = 256
	// maxRememberedMembers bounds the members without a connection of which a hub keeps counts.
	maxRememberedMembers = 4096
)

// errDropped means that a message was dropped for want of memory.
const errDropped = errors.ConstError("message dropped for want of memory")

// inbound is the connection that another member has opened to this one.
type inbound struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// ServeHTTP accepts a connection from another member.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	member := r.Header.Get(MemberHeader)
	if member == "" || len(member) > maxNameBytes {
		http.Error(w, "header "+MemberHeader+" is missing or too long", http.StatusBadRequest)
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
	connection.SetReadLimit(cmp.Or(h.MaxMessageBytes, defaultMessageBytes))
	release := h.replaceInbound(member, cancel)
	defer release()
	if h.OnAccept != nil {
		h.OnAccept(member)
	}
	h.read(ctx, cancel, connection, member, silenceTimer)
}

// replaceInbound closes the earlier connection of a member and returns a function
// that must be called at the end of the new one. No message of the earlier
// connection is delivered after replaceInbound returns.
func (h *Hub) replaceInbound(member string, cancel context.CancelFunc) (release func()) {
	current := &inbound{cancel: cancel, done: make(chan struct{})}
	h.mu.Lock()
	earlier := h.inbounds[member]
	h.inbounds[member] = current
	h.accepted++
	h.acceptedCounts[member] = h.accepted
	h.forgetStrangers()
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

// forgetStrangers removes the counts of members without a connection, if there are too many: any
// client can open connections under ever new names. The caller holds h.mu.
func (h *Hub) forgetStrangers() {
	if len(h.acceptedCounts) <= maxRememberedMembers+len(h.inbounds) {
		return
	}
	isStranger := func(member string) bool { return h.inbounds[member] == nil && h.links[member] == nil }
	maps.DeleteFunc(h.acceptedCounts, func(member string, _ uint64) bool { return isStranger(member) })
	h.traffic.forget(isStranger)
}

// read delivers messages from a connection until it fails or times out, or a message is dropped.
func (h *Hub) read(ctx context.Context, cancel context.CancelFunc, connection *websocket.Conn, member string, silenceTimer *time.Timer) {
	for {
		_, reader, err := connection.Reader(ctx)
		if err != nil {
			return
		}
		if err := h.receive(ctx, cancel, member, &progressReader{reader: reader, silenceTimer: silenceTimer, begun: h.begun}); err != nil {
			return
		}
	}
}

// receive delivers one WebSocket message, which is charged until its frames are queued.
func (h *Hub) receive(ctx context.Context, cancel context.CancelFunc, member string, reader *progressReader) error {
	reader.charge = h.Memory.Open(cancel)
	defer reader.charge.Close()
	data, err := budget.ReadAll(reader)
	if err != nil {
		return err
	}
	// The bodies of the frames are copies.
	if !reader.charge.Complete() || !reader.charge.Reserve(int64(len(data))) {
		return errDropped
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	frames, err := decodeFrames(data)
	if err != nil {
		return err
	}
	h.traffic.countReceived(member, frames, len(data))
	for _, f := range frames {
		h.dispatch(member, f)
	}
	return nil
}

// progressReader reads a message. It resets the silence timer for every part of it, so that a large
// message over a slow link counts as progress, and charges what it reads.
type progressReader struct {
	reader       io.Reader
	silenceTimer *time.Timer
	charge       *budget.Charge
	// begun is when the hub was made, to which the times of the charge refer.
	begun time.Time
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 {
		r.silenceTimer.Reset(SilenceTimeout)
		if !r.charge.Receive(time.Since(r.begun), budget.ReadCost*int64(n)) {
			return n, errDropped
		}
	}
	return n, err
}

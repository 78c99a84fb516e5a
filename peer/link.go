package peer

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/codec"
)

// Intervals and timeouts of a link.
const (
	// progressInterval is the time between two progress checks.
	progressInterval = time.Second
	// SilenceTimeout is how long the other end may make no progress before the
	// connection is closed.
	SilenceTimeout = 2500 * time.Millisecond
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 2 * time.Second
	// redialDelay is the delay before the next attempt to connect.
	redialDelay = 200 * time.Millisecond
)

// ErrDown means that there is no connection to a member; nothing was sent.
const ErrDown = errors.ConstError("link is down")

// link sends messages to one member over its own connection.
type link struct {
	member string
	queue  *queue
	window *window
	cancel context.CancelFunc
	// firstDialDone reports whether the first attempt to connect has ended.
	firstDialDone atomic.Bool
}

// run reconnects until the context ends.
func (l *link) run(ctx context.Context, h *Hub) {
	for ctx.Err() == nil {
		if address, ok := h.resolve(l.member); ok {
			// Whatever ended the connection, it is opened again after redialDelay.
			_ = l.runConnection(ctx, h, address)
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

// runConnection sends over one connection until it fails or makes no progress.
func (l *link) runConnection(ctx context.Context, h *Hub, address string) error {
	connection, err := l.dial(ctx, h, address)
	if err != nil {
		l.firstDialDone.Store(true)
		return err
	}
	defer connection.CloseNow()
	ctx, cancel := context.WithCancelCause(connection.CloseRead(ctx))
	defer cancel(nil)
	l.window.reset()
	l.queue.reset(true)
	defer l.queue.reset(false)
	l.firstDialDone.Store(true)
	checkDone := make(chan struct{})
	go func() {
		defer close(checkDone)
		cancel(l.checkProgress(ctx, connection))
	}()
	defer func() { <-checkDone }()
	defer cancel(nil)
	h.notifyConnected(l.member)
	return l.sendBatches(ctx, h, connection)
}

func (l *link) dial(ctx context.Context, h *Hub, address string) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	scheme := "ws://"
	if h.TLSClient != nil {
		scheme = "wss://"
	}
	connection, _, err := websocket.Dial(ctx, scheme+address+Path, &websocket.DialOptions{
		HTTPClient: h.TLSClient, HTTPHeader: http.Header{MemberHeader: {h.self}},
	})
	return connection, errors.Annotatef(err, "link to %s", l.member)
}

// checkProgress returns once a ping is not answered within SilenceTimeout. A ping is
// sent at each interval and whenever half of the window is unacknowledged; its answer
// acknowledges the bytes sent before it.
func (l *link) checkProgress(ctx context.Context, connection *websocket.Conn) error {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		sent, started := l.window.sentBytes(), time.Now()
		pingCtx, cancel := context.WithTimeout(ctx, SilenceTimeout)
		err := connection.Ping(pingCtx)
		cancel()
		if err != nil {
			return errors.Annotate(err, "progress check")
		}
		l.window.acknowledge(sent, time.Since(started))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-l.window.ackWanted:
		}
	}
}

// sendBatches sends queued messages until the context ends.
func (l *link) sendBatches(ctx context.Context, h *Hub, connection *websocket.Conn) error {
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-l.queue.ready:
		}
		frames, err := l.queue.takeBatch(min(maxBatchBytes, l.window.limit()))
		if err != nil || len(frames) == 0 {
			continue
		}
		data, err := codec.Marshal(frames)
		if err != nil {
			return errors.Trace(err)
		}
		if err := l.window.write(ctx, connection, data); err != nil {
			return errors.Annotatef(err, "link to %s", l.member)
		}
		h.traffic.countSent(l.member, frames, len(data))
	}
}

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

// Pace of a link.
const (
	// progressInterval is the pause between two checks of progress.
	progressInterval = time.Second
	// SilenceTimeout is how long the other end may show no progress.
	SilenceTimeout = 2500 * time.Millisecond
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 2 * time.Second
	// redialPause is the pause before a new connection.
	redialPause = 200 * time.Millisecond
)

// ErrDown tells that there is no connection to a member; nothing was sent.
const ErrDown = errors.ConstError("link is down")

// link sends to one member over a connection of its own.
type link struct {
	member string
	queue  *queue
	window *window
	cancel context.CancelFunc
	// dialed tells that the first try to connect has ended.
	dialed atomic.Bool
}

// run keeps a connection up until the context ends.
func (l *link) run(ctx context.Context, h *Hub) {
	for ctx.Err() == nil {
		if address, ok := h.resolve(l.member); ok {
			// The pause below follows whatever ended the connection.
			_ = l.connect(ctx, h, address)
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialPause):
		}
	}
}

// connect sends over one connection until it fails or shows no progress.
func (l *link) connect(ctx context.Context, h *Hub, address string) error {
	connection, err := l.dial(ctx, h, address)
	if err != nil {
		l.dialed.Store(true)
		return err
	}
	defer connection.CloseNow()
	ctx, cancel := context.WithCancelCause(connection.CloseRead(ctx))
	defer cancel(nil)
	l.window.reset()
	l.queue.reset(true)
	defer l.queue.reset(false)
	l.dialed.Store(true)
	checked := make(chan struct{})
	go func() {
		defer close(checked)
		cancel(l.check(ctx, connection))
	}()
	defer func() { <-checked }()
	defer cancel(nil)
	h.connected(l.member)
	return l.deliver(ctx, h, connection)
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

// check returns once the other end shows no progress. It confirms what the other end
// has, each interval and whenever much is under way.
func (l *link) check(ctx context.Context, connection *websocket.Conn) error {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		mark, began := l.window.mark(), time.Now()
		checking, cancel := context.WithTimeout(ctx, SilenceTimeout)
		err := connection.Ping(checking)
		cancel()
		if err != nil {
			return errors.Annotate(err, "progress")
		}
		l.window.confirm(mark, time.Since(began))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-l.window.wanted:
		}
	}
}

// deliver writes batches until the context ends.
func (l *link) deliver(ctx context.Context, h *Hub, connection *websocket.Conn) error {
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-l.queue.ready:
		}
		frames, err := l.queue.take(min(batchBytes, l.window.bound()))
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
		h.traffic.sent(l.member, frames, len(data))
	}
}

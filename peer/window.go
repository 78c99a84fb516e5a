package peer

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"
)

// Limits of the unacknowledged bytes of a link.
const (
	// minWindow and maxWindow bound the window, in bytes. With maxWindow, a connection
	// with a round trip of 40 ms carries 6 MB/s.
	minWindow = 4 << 10
	maxWindow = 256 << 10
	// initialWindow is the maximum window of a new connection. An idle window shrinks
	// back to it.
	initialWindow = 8 << 10
	// slowRoundTripTime is the round trip time above which the window shrinks; below
	// half of it the window may grow. Other traffic between the two hosts is delayed by
	// up to about this time.
	slowRoundTripTime = 300 * time.Millisecond
)

// window bounds the bytes that were sent to a member and are not acknowledged.
// Without such a bound, a connection fills the buffers of the network between the
// two ends and delays all other traffic there. A new connection keeps a window that
// was reduced below initialWindow, since the network path may be the same.
type window struct {
	mu sync.Mutex
	// size is the maximum number of unacknowledged bytes.
	size int
	// sent and acked count the bytes of the current connection.
	sent, acked int
	// blocked reports whether the sender had to wait since the last acknowledgement.
	blocked bool
	// ackReceived holds a value after an acknowledgement.
	ackReceived chan struct{}
	// ackWanted holds a value while the sender requests an acknowledgement.
	ackWanted chan struct{}
}

func newWindow() *window {
	return &window{size: initialWindow, ackReceived: make(chan struct{}, 1), ackWanted: make(chan struct{}, 1)}
}

// reset prepares the window for a new connection.
func (w *window) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.size = min(w.size, initialWindow)
	w.sent, w.acked, w.blocked = 0, 0, false
}

// limit returns the maximum number of unacknowledged bytes.
func (w *window) limit() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.size
}

// write sends a message, in parts if it exceeds the free window. A ping can be sent
// between two parts.
func (w *window) write(ctx context.Context, connection *websocket.Conn, data []byte) error {
	size, err := w.reserve(ctx, len(data))
	if err != nil {
		return err
	}
	if size == len(data) {
		return connection.Write(ctx, websocket.MessageBinary, data)
	}
	writer, err := connection.Writer(ctx, websocket.MessageBinary)
	if err != nil {
		return err
	}
	for {
		if _, err := writer.Write(data[:size]); err != nil {
			return err
		}
		data = data[size:]
		if len(data) == 0 {
			return writer.Close()
		}
		if size, err = w.reserve(ctx, len(data)); err != nil {
			return err
		}
	}
}

// reserve waits for free window and returns how many of the wanted bytes may be
// sent.
func (w *window) reserve(ctx context.Context, want int) (int, error) {
	for {
		if size := w.tryReserve(want); size > 0 {
			return size, nil
		}
		select {
		case <-ctx.Done():
			return 0, context.Cause(ctx)
		case <-w.ackReceived:
		}
	}
}

// tryReserve reserves bytes if the free window covers all of them or half the
// window. Otherwise it returns 0.
func (w *window) tryReserve(want int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	size := min(want, w.size-(w.sent-w.acked))
	if size < min(want, w.size/2) {
		w.blocked = true
		size = 0
	}
	w.sent += size
	if w.sent-w.acked >= w.size/2 {
		signal(w.ackWanted)
	}
	return size
}

// sentBytes returns the number of bytes that a ping sent now acknowledges.
func (w *window) sentBytes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent
}

// acknowledge records that the other end has received the first upTo bytes, and
// adapts the window to the round trip time.
func (w *window) acknowledge(upTo int, roundTrip time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acked = upTo
	switch {
	case roundTrip > slowRoundTripTime:
		w.size = max(int(int64(w.size)*int64(slowRoundTripTime)/int64(roundTrip)), minWindow)
	case w.blocked && roundTrip < slowRoundTripTime/2:
		w.size = min(2*w.size, maxWindow)
	case !w.blocked && w.size > initialWindow:
		w.size = max(w.size/2, initialWindow)
	}
	w.blocked = false
	signal(w.ackReceived)
}

// signal puts a value into a channel without blocking, unless it holds one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

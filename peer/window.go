package peer

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"
)

// Bounds of the bytes that a link has under way.
const (
	// minWindow and maxWindow bound the window, in bytes. With the largest, a
	// connection with a round trip of 40 ms carries 6 MB a second.
	minWindow = 4 << 10
	maxWindow = 256 << 10
	// initialWindow is the largest window of a new connection, and of one that needs
	// no larger one.
	initialWindow = 8 << 10
	// slowRoundTripTime is the round trip at which the window shrinks; below half of
	// it the window grows. What else passes between the two hosts waits as long.
	slowRoundTripTime = 300 * time.Millisecond
)

// window bounds the bytes that were sent to a member and that it has not
// confirmed. A connection without such a bound fills whatever lies between the two
// ends, and everything else that passes there waits behind it. A new connection
// keeps a small window of the one before, since the path may be the same.
type window struct {
	mu sync.Mutex
	// size is the most bytes under way.
	size int
	// sent and confirmed count the bytes over the present connection.
	sent, acked int
	// blocked tells that the sender had to wait since the last confirmation.
	blocked bool
	// ackReceived has a value after a confirmation.
	ackReceived chan struct{}
	// ackWanted has a value while a confirmation is wanted.
	ackWanted chan struct{}
}

func newWindow() *window {
	return &window{size: initialWindow, ackReceived: make(chan struct{}, 1), ackWanted: make(chan struct{}, 1)}
}

// reset begins a new connection.
func (w *window) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.size = min(w.size, initialWindow)
	w.sent, w.acked, w.blocked = 0, 0, false
}

// limit returns the most bytes under way.
func (w *window) limit() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.size
}

// write sends a message, in parts if the window has no room for all of it. A check
// of progress can pass between two parts.
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

// reserve waits for room and returns how many of the wanted bytes may be sent.
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

// tryReserve reserves bytes if there is room for all of them or for half a window.
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

// sentBytes returns what a ping that is sent now confirms.
func (w *window) sentBytes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent
}

// acknowledge notes that the other end has what was sent up to a mark, and fits the
// window to the round trip.
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

// signal leaves a value for whoever waits, unless there is one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

package peer

import (
	"context"
	"sync/atomic"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/vanillaquay/vanillaquay/ring"
)

const (
	// subscriberQueueLength is the maximum number of queued received messages per kind.
	subscriberQueueLength = 8192
	// messageOverhead is the memory that a queued message takes beside its body, in bytes: its ID, its
	// metadata and its context.
	messageOverhead = 512
)

// subscription delivers the messages of one kind to its subscriber in order, each
// after the previous one is acknowledged. A message that finds the queue full is
// dropped, so that a slow subscriber does not block other kinds.
type subscription struct {
	in      *ring.Ring[*message.Message]
	out     chan *message.Message
	dropped atomic.Int64
	// maxBytes bounds queuedBytes, the total size of the messages that are not acknowledged; 0 is no
	// limit. A larger message is accepted if no other one is queued.
	maxBytes    int64
	queuedBytes atomic.Int64
}

func newSubscription(maxBytes int64) *subscription {
	return &subscription{in: ring.New[*message.Message](subscriberQueueLength), out: make(chan *message.Message), maxBytes: maxBytes}
}

func (s *subscription) enqueue(from string, f frame) {
	m := message.NewMessage(watermill.NewULID(), f.Body)
	m.Metadata.Set(metadataKind, string(f.Kind.kind()))
	m.Metadata.Set(metadataFrom, from)
	size := messageBytes(m)
	queued := s.queuedBytes.Add(size)
	if s.maxBytes > 0 && queued > s.maxBytes && queued > size || s.in.TryPut(m) != nil {
		s.queuedBytes.Add(-size)
		s.dropped.Add(1)
	}
}

// messageBytes returns the memory that a queued message takes, in bytes.
func messageBytes(m *message.Message) int64 { return messageOverhead + int64(len(m.Payload)) }

// run delivers messages until the context ends.
func (s *subscription) run(ctx context.Context) {
	defer close(s.out)
	for {
		var m *message.Message
		select {
		case <-ctx.Done():
			return
		case m = <-s.in.Values():
		}
		select {
		case <-ctx.Done():
			return
		case s.out <- m:
		}
		select {
		case <-ctx.Done():
			return
		case <-m.Acked():
		case <-m.Nacked():
		}
		s.queuedBytes.Add(-messageBytes(m))
	}
}

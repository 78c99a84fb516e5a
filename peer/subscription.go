package peer

import (
	"context"
	"sync/atomic"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/vanillaquay/vanillaquay/ring"
)

// subscriberQueueLength is the number of received messages that wait per kind.
const subscriberQueueLength = 8192

// subscription hands the messages of one kind to its subscriber, one after
// another: the next follows once the one before is acknowledged. A message for
// which there is no room is dropped, so that a slow subscriber holds up no other
// kind.
type subscription struct {
	in      *ring.Ring[*message.Message]
	out     chan *message.Message
	dropped atomic.Int64
}

func newSubscription() *subscription {
	return &subscription{in: ring.New[*message.Message](subscriberQueueLength), out: make(chan *message.Message)}
}

func (s *subscription) enqueue(from string, f frame) {
	m := message.NewMessage(watermill.NewULID(), f.Body)
	m.Metadata.Set(metadataKind, string(f.Kind.kind()))
	m.Metadata.Set(metadataFrom, from)
	if s.in.TryPut(m) != nil {
		s.dropped.Add(1)
	}
}

// run hands messages on until the context ends.
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
	}
}

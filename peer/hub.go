package peer

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/budget"
	"github.com/vanillaquay/vanillaquay/codec"
)

// Path is the URL path at which a hub accepts connections.
const Path = "/peer"

// MemberHeader is the HTTP header that names the member that opens a connection. It
// also identifies the member to logs and to proxies between two members.
const MemberHeader = "Vanillaquay-Member"

// Metadata keys of a message.
const (
	metadataKind = "Kind"
	metadataFrom = "From"
)

// Resolver returns the address of a member.
type Resolver func(member string) (address string, ok bool)

// Hub holds the connections of one member to and from all other members. It
// implements message.Publisher, whose topic is the receiving member, and
// message.Subscriber, whose topic is a Kind. Use NewHub to make one.
type Hub struct {
	// TLSClient dials the other members over TLS; nil means plain TCP. It must not
	// change once there is a link.
	TLSClient *http.Client
	// OnConnect is called for each new connection to a member, unless it is nil. It
	// must not change once there is a link, and must not block.
	OnConnect func(member string)

	// OnAccept is called for each connection that a member has opened, unless it is
	// nil. It must not change once there is a link, and must not block.
	OnAccept func(member string)

	// MaxQueuedBytes bounds the received messages of one kind that wait for their subscriber, in
	// bytes; 0 is no limit. It must not change once there is a subscriber.
	MaxQueuedBytes int64

	// Memory bounds the messages that arrive, of all members together; nil is no limit. A connection
	// whose message finds no room is closed. It must not change once there is a connection.
	Memory *budget.Budget

	// MaxMessageBytes bounds one message, in bytes; 0 is 32 MiB. It must not change once there is a
	// connection.
	MaxMessageBytes int64

	self       string
	begun      time.Time
	resolve    Resolver
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup
	traffic    traffic

	mu       sync.Mutex
	links    map[string]*link
	inbounds map[string]*inbound
	// accepted is the number of connections that members have opened, and acceptedCounts what it was
	// with the last one of each member.
	accepted       uint64
	acceptedCounts map[string]uint64
	subscribers    map[Kind]*subscription
	closed         bool
}

var (
	_ message.Publisher  = (*Hub)(nil)
	_ message.Subscriber = (*Hub)(nil)
)

// NewHub returns a hub for the named member.
func NewHub(self string, resolve Resolver) *Hub {
	ctx, stop := context.WithCancel(context.Background())
	return &Hub{
		self: self, begun: time.Now(), resolve: resolve, ctx: ctx, stop: stop, traffic: traffic{self: self},
		links: map[string]*link{}, inbounds: map[string]*inbound{}, acceptedCounts: map[string]uint64{}, subscribers: map[Kind]*subscription{},
	}
}

// CountTrafficByRegion makes the hub count the traffic between the regions of
// members. It must be called before there is a link.
func (h *Hub) CountTrafficByRegion(regionOf func(member string) string) {
	h.traffic.regionOf = regionOf
}

// Send encodes a value and publishes it to a member.
func (h *Hub) Send(member string, kind Kind, value any) error {
	body, err := codec.Marshal(value)
	if err != nil {
		return errors.Trace(err)
	}
	m := message.NewMessage("", body)
	m.Metadata.Set(metadataKind, string(kind))
	return h.Publish(member, m)
}

// Publish implements message.Publisher. It fails with ErrDown if there is no
// connection to the member and with ring.ErrFull if the queue is full. The message
// that failed and those after it are not sent.
func (h *Hub) Publish(member string, messages ...*message.Message) error {
	l, ok := h.linkTo(member)
	if !ok {
		return errors.Annotatef(ErrDown, "link to %q", member)
	}
	for _, m := range messages {
		kind := Kind(m.Metadata.Get(metadataKind))
		if err := l.queue.put(frame{Kind: codeOf(kind), Body: m.Payload}); err != nil {
			h.traffic.countRefused(member, kind)
			return errors.Annotatef(err, "link to %s", member)
		}
	}
	return nil
}

// SendLatest sends the latest value of a kind to a member. The value is computed by
// current when it is about to be sent, unless a later call for the same kind has
// replaced it.
func (h *Hub) SendLatest(member string, kind Kind, current ValueFunc) error {
	l, ok := h.linkTo(member)
	if !ok {
		return errors.Annotatef(ErrDown, "link to %q", member)
	}
	return errors.Annotatef(l.queue.putLatest(kind, current), "link to %s", member)
}

// Connect opens links to the given members and closes those to all others.
func (h *Hub) Connect(members []string) {
	h.mu.Lock()
	for member, l := range h.links {
		if !slices.Contains(members, member) {
			l.cancel()
			delete(h.links, member)
		}
	}
	h.mu.Unlock()
	for _, member := range members {
		h.openLink(member)
	}
}

// Reachable reports whether there is a connection to a member. A connection without
// progress for SilenceTimeout is closed.
func (h *Hub) Reachable(member string) bool {
	l, ok := h.linkTo(member)
	return ok && l.queue.isOpen()
}

// Connecting reports whether the first attempt to connect to a member is in
// progress.
func (h *Hub) Connecting(member string) bool {
	l, ok := h.linkTo(member)
	return ok && !l.firstDialDone.Load()
}

// ReachableFrom reports whether a member has a connection to this one. A connection
// without progress for SilenceTimeout is closed.
func (h *Hub) ReachableFrom(member string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inbounds[member] != nil
}

// AcceptedCount returns a number that rises with each connection that a member opens to this one. If
// it has changed, messages sent over earlier connections may be lost. It is 0 if there was none, or
// if the member has had no connection for so long that it was forgotten.
func (h *Hub) AcceptedCount(member string) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.acceptedCounts[member]
}

// Subscribe implements message.Subscriber. Each kind has one subscriber; a later
// one replaces it.
func (h *Hub) Subscribe(_ context.Context, kind string) (<-chan *message.Message, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return nil, errors.New("hub is closed")
	}
	s := newSubscription(h.MaxQueuedBytes)
	h.subscribers[Kind(kind)] = s
	h.goroutines.Add(1)
	go func() {
		defer h.goroutines.Done()
		s.run(h.ctx)
	}()
	return s.out, nil
}

// Close implements message.Publisher and message.Subscriber.
func (h *Hub) Close() error {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.stop()
	h.goroutines.Wait()
	return nil
}

// tryAdd adds one to the wait group, or returns false if the hub is closed.
func (h *Hub) tryAdd() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	h.goroutines.Add(1)
	return true
}

func (h *Hub) notifyConnected(member string) {
	if h.OnConnect != nil {
		h.OnConnect(member)
	}
}

func (h *Hub) dispatch(from string, f frame) {
	h.mu.Lock()
	s := h.subscribers[f.Kind.kind()]
	h.mu.Unlock()
	if s != nil {
		s.enqueue(from, f)
	}
}

func (h *Hub) linkTo(member string) (*link, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l, ok := h.links[member]
	return l, ok
}

// openLink starts a link, unless there is one or the hub is closed.
func (h *Hub) openLink(member string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.links[member] != nil {
		return
	}
	ctx, cancel := context.WithCancel(h.ctx)
	l := &link{member: member, queue: newQueue(), window: newWindow(), cancel: cancel}
	h.links[member] = l
	h.goroutines.Add(1)
	go func() {
		defer h.goroutines.Done()
		l.run(ctx, h)
	}()
}

// NewHandler returns a watermill handler that decodes messages into values of one
// type.
func NewHandler[T any](handle func(from string, value T)) message.NoPublishHandlerFunc {
	return func(m *message.Message) error {
		var value T
		if err := codec.Unmarshal(m.Payload, &value); err != nil {
			return errors.Annotatef(err, "message %s of kind %s", m.UUID, m.Metadata.Get(metadataKind))
		}
		handle(m.Metadata.Get(metadataFrom), value)
		return nil
	}
}

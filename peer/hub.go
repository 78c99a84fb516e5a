package peer

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/codec"
)

// Path is where a hub accepts links.
const Path = "/peer"

// MemberHeader names the member that opens a link, for logs and for whatever
// stands between two members.
const MemberHeader = "Vanillaquay-Member"

// Metadata of a message.
const (
	metadataKind = "Kind"
	metadataFrom = "From"
)

// Resolver returns the address of a member.
type Resolver func(member string) (address string, ok bool)

// Hub is the end of all links of one member. It implements
// message.Publisher, whose topic is the receiving member, and
// message.Subscriber, whose topic is a Kind. Use NewHub to make one.
type Hub struct {
	// TLSClient dials the other members over TLS; nil is plain TCP. It must not
	// change once there is a link.
	TLSClient *http.Client
	// OnConnect is told of each new connection to a member; nil is nobody. It
	// must not change once there is a link, and not block.
	OnConnect func(member string)

	// OnAccept is told of each connection that a member has opened; nil is
	// nobody. It must not change once there is a link, and not block.
	OnAccept func(member string)

	self    string
	resolve Resolver
	ctx     context.Context
	stop    context.CancelFunc
	duties  sync.WaitGroup
	traffic traffic

	mu       sync.Mutex
	links    map[string]*link
	inbounds map[string]*inbound
	// opened counts the connections that each member has opened.
	opened      map[string]uint64
	subscribers map[Kind]*subscription
	closed      bool
}

var (
	_ message.Publisher  = (*Hub)(nil)
	_ message.Subscriber = (*Hub)(nil)
)

// NewHub returns a hub of the named member.
func NewHub(self string, resolve Resolver) *Hub {
	ctx, stop := context.WithCancel(context.Background())
	return &Hub{
		self: self, resolve: resolve, ctx: ctx, stop: stop, traffic: traffic{self: self},
		links: map[string]*link{}, inbounds: map[string]*inbound{}, opened: map[string]uint64{}, subscribers: map[Kind]*subscription{},
	}
}

// CountTrafficByRegion makes the hub count what passes between the regions of members.
// It must be called before there is a link.
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
// connection to the member and with ring.ErrFull if there is no room; nothing is
// sent then.
func (h *Hub) Publish(member string, messages ...*message.Message) error {
	l, ok := h.lookup(member)
	if !ok {
		return errors.Annotatef(ErrDown, "link to %q", member)
	}
	for _, m := range messages {
		kind := Kind(m.Metadata.Get(metadataKind))
		if err := l.queue.put(frame{Kind: codeOf(kind), Body: m.Payload}); err != nil {
			h.traffic.refused(member, kind)
			return errors.Annotatef(err, "link to %s", member)
		}
	}
	return nil
}

// SendLatest makes the latest value of a kind known to a member: produce is called
// when its turn comes, unless another offer of the kind has replaced it.
func (h *Hub) SendLatest(member string, kind Kind, produce ValueFunc) error {
	l, ok := h.lookup(member)
	if !ok {
		return errors.Annotatef(ErrDown, "link to %q", member)
	}
	return errors.Annotatef(l.queue.offer(kind, produce), "link to %s", member)
}

// Connect keeps links to the given members, and only to these, until the next
// call.
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
		h.open(member)
	}
}

// Reachable reports whether there is a connection to a member that makes
// progress.
func (h *Hub) Reachable(member string) bool {
	l, ok := h.lookup(member)
	return ok && l.queue.up()
}

// Connecting reports whether the first try to connect to a member is under way.
func (h *Hub) Connecting(member string) bool {
	l, ok := h.lookup(member)
	return ok && !l.dialed.Load()
}

// ReachableFrom reports whether a member has a connection to this one that makes
// progress.
func (h *Hub) ReachableFrom(member string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inbounds[member] != nil
}

// AcceptedCount returns how many connections a member has opened to this one. Whatever it
// sent may be lost if the number has risen since.
func (h *Hub) AcceptedCount(member string) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.opened[member]
}

// Subscribe implements message.Subscriber. There is one subscriber per kind.
func (h *Hub) Subscribe(_ context.Context, kind string) (<-chan *message.Message, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return nil, errors.New("hub is closed")
	}
	s := newSubscription()
	h.subscribers[Kind(kind)] = s
	h.duties.Add(1)
	go func() {
		defer h.duties.Done()
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
	h.duties.Wait()
	return nil
}

// enter notes a new duty, unless the hub is closed.
func (h *Hub) enter() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	h.duties.Add(1)
	return true
}

func (h *Hub) connected(member string) {
	if h.OnConnect != nil {
		h.OnConnect(member)
	}
}

func (h *Hub) deliver(from string, f frame) {
	h.mu.Lock()
	s := h.subscribers[f.Kind.kind()]
	h.mu.Unlock()
	if s != nil {
		s.put(from, f)
	}
}

func (h *Hub) lookup(member string) (*link, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l, ok := h.links[member]
	return l, ok
}

// open begins a link, unless there is one or the hub is closed.
func (h *Hub) open(member string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.links[member] != nil {
		return
	}
	ctx, cancel := context.WithCancel(h.ctx)
	l := &link{member: member, queue: newQueue(), window: newWindow(), cancel: cancel}
	h.links[member] = l
	h.duties.Add(1)
	go func() {
		defer h.duties.Done()
		l.run(ctx, h)
	}()
}

// NewHandler returns a watermill handler that decodes messages of one type.
func NewHandler[T any](take func(from string, value T)) message.NoPublishHandlerFunc {
	return func(m *message.Message) error {
		var value T
		if err := codec.Unmarshal(m.Payload, &value); err != nil {
			return errors.Annotatef(err, "message %s of kind %s", m.UUID, m.Metadata.Get(metadataKind))
		}
		take(m.Metadata.Get(metadataFrom), value)
		return nil
	}
}

package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/worker"
)

// Pace of the duty that tells and ages digests.
const (
	// sameRegionDelay gathers changes before members of the same region are told.
	sameRegionDelay = 20 * time.Millisecond
	// otherRegionDelay is the least pause between two digests to another region, whose
	// link is paid for by the byte.
	otherRegionDelay = time.Second
	// linkInterval is the pause between two looks at the members to link to.
	linkInterval = 50 * time.Millisecond
	// digestTimeout is how long a digest counts without a connection from its
	// sender.
	digestTimeout = time.Second
)

// digestDuty tells the other members what the racks of this host have free, and
// keeps what they tell of theirs.
type digestDuty struct {
	host *Host
	// changed has a value after a change that nobody was told of.
	changed chan struct{}

	mu sync.Mutex
	// latest holds the digests of own racks by name, and the last ones of racks
	// that were handed over a short time ago.
	latest map[string]rack.Digest
	// releasedAt tells since when a rack in latest is owned no more.
	releasedAt map[string]time.Time
	// sent holds what was last sent to each member over its present connection.
	sent map[string]map[string]rack.Digest
	// known holds the digests of other members by rack.
	known map[string]knownDigest
	// lost holds the racks that the core was told to be gone, because a command
	// could not be sent, with the members that last told of them.
	lost map[string]string
}

// knownDigest is a digest of another member.
type knownDigest struct {
	from   string
	digest rack.Digest
	// disconnectedSince is since when there is no connection from the member; zero while
	// there is one.
	disconnectedSince time.Time
}

func newDigestDuty(h *Host) *digestDuty {
	d := &digestDuty{
		host: h, changed: make(chan struct{}, 1), latest: map[string]rack.Digest{}, releasedAt: map[string]time.Time{},
		sent: map[string]map[string]rack.Digest{}, known: map[string]knownDigest{}, lost: map[string]string{},
	}
	h.hub.Connected = d.onConnected
	h.hub.Accepted = d.onAccepted
	h.hub.CountRegions(h.regionOf)
	return d
}

func (h *Host) regionOf(id string) string {
	if id == h.name {
		return h.hostSettings.Region
	}
	m, _ := h.roster.Lookup(id)
	return m.Region
}

// publish notes a digest of an own rack. A rack without workers is gone.
func (d *digestDuty) publish(digest rack.Digest) {
	d.host.decide.put(eventOf(digest))
	d.mu.Lock()
	d.latest[digest.Rack] = digest
	delete(d.releasedAt, digest.Rack)
	d.mu.Unlock()
	d.signal()
}

func (d *digestDuty) signal() {
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// markReleased tells that this host owns a rack no more. For a while others are told of
// its workers, none of which takes anything: the next owner must know on which of
// them an attempt may run.
func (d *digestDuty) markReleased(name string) {
	d.mu.Lock()
	digest, ok := d.latest[name]
	if ok {
		digest.Sequence++
		digest.Workers = slices.Clone(digest.Workers)
		for i := range digest.Workers {
			digest.Workers[i].State = rack.Leaving
		}
		d.latest[name] = digest
		d.releasedAt[name] = time.Now()
	}
	d.mu.Unlock()
	if ok {
		d.host.decide.put(eventOf(digest))
		d.signal()
	}
}

// forgetReleased forgets the racks that were handed over long ago.
func (d *digestDuty) forgetReleased(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, since := range d.releasedAt {
		if now.Sub(since) > worker.LapseLength {
			delete(d.releasedAt, name)
			delete(d.latest, name)
		}
	}
}

// ownDigest returns the digest of a rack that this host owns, with d.mu held.
func (d *digestDuty) ownDigest(name string) (rack.Digest, bool) {
	if _, former := d.releasedAt[name]; former {
		return rack.Digest{}, false
	}
	digest, ok := d.latest[name]
	return digest, ok
}

func eventOf(digest rack.Digest) decision.Event {
	if len(digest.Workers) == 0 {
		return decision.RackRemoved{Rack: digest.Rack}
	}
	return decision.DigestChanged{Digest: digest}
}

// run keeps the links to the other members and tells changes at the pace of
// each region.
func (d *digestDuty) run(ctx context.Context) error {
	ticker := time.NewTicker(linkInterval)
	defer ticker.Stop()
	var near, far <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.changed:
			if near == nil {
				near = time.After(sameRegionDelay)
			}
			if far == nil {
				far = time.After(otherRegionDelay)
			}
		case <-near:
			near = nil
			d.offer(true)
		case <-far:
			far = nil
			d.offer(false)
		case <-ticker.C:
			d.link()
			d.dropStale(time.Now())
			d.requestLost()
			d.forgetReleased(time.Now())
		}
	}
}

// link keeps links to every member that may own something, and to those that this
// host has to ask.
func (d *digestDuty) link() {
	names := d.host.witnesses.neededLinks()
	for _, m := range d.host.roster.Holding() {
		if !slices.Contains(names, m.ID) {
			names = append(names, m.ID)
		}
	}
	d.host.hub.Connect(slices.DeleteFunc(names, func(name string) bool { return name == d.host.name }))
}

// offer lets the links to the members of the own region, or to the others, take
// what has changed.
func (d *digestDuty) offer(near bool) {
	for _, m := range d.host.roster.Holding() {
		if m.ID != d.host.name && (m.Region == d.host.hostSettings.Region) == near {
			d.offerTo(m.ID)
		}
	}
}

func (d *digestDuty) offerTo(member string) {
	// Without a connection there is nobody to tell; a new one is told all.
	_ = d.host.hub.Offer(member, peer.KindDigest, func() (any, bool) { return d.changesFor(member) })
}

// changesFor returns what a member was not told yet and notes that it was.
func (d *digestDuty) changesFor(member string) (peer.Digests, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	told := d.sent[member]
	if told == nil {
		told = map[string]rack.Digest{}
		d.sent[member] = told
	}
	var out peer.Digests
	for _, name := range slices.Sorted(maps.Keys(d.latest)) {
		digest := d.latest[name]
		if digest.Newer(told[name]) {
			out.Changes = append(out.Changes, peer.ChangeOf(told[name], digest))
			told[name] = digest
		}
	}
	return out, len(out.Changes) > 0
}

// onConnected tells a member everything over a new connection.
func (d *digestDuty) onConnected(member string) {
	d.mu.Lock()
	delete(d.sent, member)
	d.mu.Unlock()
	d.offerTo(member)
	d.host.shares.onConnected(member)
	d.host.configure.onConnected(member)
}

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

// Timing of the duty that publishes and expires digests.
const (
	// sameRegionDelay is how long changes are batched before they are sent to members
	// of the same region.
	sameRegionDelay = 20 * time.Millisecond
	// otherRegionDelay is how long changes are batched before they are sent to other
	// regions, whose links are charged by the byte.
	otherRegionDelay = time.Second
	// linkInterval is the interval at which links to members and the age of digests are
	// checked.
	linkInterval = 50 * time.Millisecond
	// digestTimeout is how long a digest stays valid without a connection from its
	// sender.
	digestTimeout = time.Second
)

// digestDuty publishes the free capacity of this host's racks to the other members, and
// keeps the digests that they send.
type digestDuty struct {
	host *Host
	// changed holds a value after a change that is not yet scheduled to be sent.
	changed chan struct{}

	mu sync.Mutex
	// latest holds the digests of own racks by name, and the last digests of racks
	// released within worker.LeaseLapseTimeout.
	latest map[string]rack.Digest
	// releasedAt holds when a rack in latest was released.
	releasedAt map[string]time.Time
	// sent holds the last digests sent to each member over its current connection.
	sent map[string]map[string]rack.Digest
	// known holds the digests of other members by rack.
	known map[string]knownDigest
	// lost holds the racks reported to the core as unreachable because a command could
	// not be sent, with the members that last sent their digests.
	lost map[string]string
}

// knownDigest is a digest of another member.
type knownDigest struct {
	from   string
	digest rack.Digest
	// disconnectedSince is when the connection from the member was found lost; zero
	// while there is one.
	disconnectedSince time.Time
}

func newDigestDuty(h *Host) *digestDuty {
	d := &digestDuty{
		host: h, changed: make(chan struct{}, 1), latest: map[string]rack.Digest{}, releasedAt: map[string]time.Time{},
		sent: map[string]map[string]rack.Digest{}, known: map[string]knownDigest{}, lost: map[string]string{},
	}
	h.hub.OnConnect = d.onConnected
	h.hub.OnAccept = d.onAccepted
	h.hub.CountTrafficByRegion(h.regionOf)
	return d
}

func (h *Host) regionOf(id string) string {
	if id == h.name {
		return h.hostSettings.Region
	}
	m, _ := h.roster.Lookup(id)
	return m.Region
}

// publish records a digest of an own rack and schedules it to be sent. A digest without
// workers means that the rack is removed.
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

// markReleased records that this host no longer owns a rack. For a while its workers
// are still published, all as leaving, so that they receive no attempts: the next owner
// must know which workers may run an attempt.
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

// forgetReleased forgets the racks released more than worker.LeaseLapseTimeout ago.
func (d *digestDuty) forgetReleased(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, since := range d.releasedAt {
		if now.Sub(since) > worker.LeaseLapseTimeout {
			delete(d.releasedAt, name)
			delete(d.latest, name)
		}
	}
}

// ownDigest returns the digest of a rack that this host owns. The caller holds d.mu.
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

// run maintains the links to the other members and sends changes after the delay of
// each region.
func (d *digestDuty) run(ctx context.Context) error {
	ticker := time.NewTicker(linkInterval)
	defer ticker.Stop()
	var sameRegion, otherRegion <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.changed:
			if sameRegion == nil {
				sameRegion = time.After(sameRegionDelay)
			}
			if otherRegion == nil {
				otherRegion = time.After(otherRegionDelay)
			}
		case <-sameRegion:
			sameRegion = nil
			d.offer(true)
		case <-otherRegion:
			otherRegion = nil
			d.offer(false)
		case <-ticker.C:
			d.link()
			d.dropStale(time.Now())
			d.requestLost()
			d.forgetReleased(time.Now())
		}
	}
}

// link maintains links to every member that may own something, and to the witnesses
// that this host must ask.
func (d *digestDuty) link() {
	names := d.host.witnesses.neededLinks()
	for _, m := range d.host.roster.PossibleOwners() {
		if !slices.Contains(names, m.ID) {
			names = append(names, m.ID)
		}
	}
	d.host.hub.Connect(slices.DeleteFunc(names, func(name string) bool { return name == d.host.name }))
}

// offer offers changes to the members of the own region, or to those of the others.
func (d *digestDuty) offer(sameRegion bool) {
	for _, m := range d.host.roster.PossibleOwners() {
		if m.ID != d.host.name && (m.Region == d.host.hostSettings.Region) == sameRegion {
			d.offerTo(m.ID)
		}
	}
}

func (d *digestDuty) offerTo(member string) {
	// An error is ignored: everything is sent over the next connection.
	_ = d.host.hub.SendLatest(member, peer.KindDigest, func() (any, bool) { return d.changesFor(member) })
}

// changesFor returns the changes not yet sent to a member and records them as sent.
func (d *digestDuty) changesFor(member string) (peer.Digests, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sent := d.sent[member]
	if sent == nil {
		sent = map[string]rack.Digest{}
		d.sent[member] = sent
	}
	var out peer.Digests
	for _, name := range slices.Sorted(maps.Keys(d.latest)) {
		digest := d.latest[name]
		if digest.Newer(sent[name]) {
			out.Changes = append(out.Changes, peer.NewDigestChange(sent[name], digest))
			sent[name] = digest
		}
	}
	return out, len(out.Changes) > 0
}

// onConnected sends a member the full state over a new connection.
func (d *digestDuty) onConnected(member string) {
	d.mu.Lock()
	delete(d.sent, member)
	d.mu.Unlock()
	d.offerTo(member)
	d.host.shares.onConnected(member)
	d.host.configure.onConnected(member)
}

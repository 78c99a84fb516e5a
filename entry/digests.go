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
	// nearPause gathers changes before members of the same region are told.
	nearPause = 20 * time.Millisecond
	// farPause is the least pause between two digests to another region, whose
	// link is paid for by the byte.
	farPause = time.Second
	// linkInterval is the pause between two looks at the members to link to.
	linkInterval = 50 * time.Millisecond
	// digestAge is how long a digest counts without a connection from its
	// sender.
	digestAge = time.Second
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
	// former tells since when a rack in latest is owned no more.
	former map[string]time.Time
	// told holds what was last sent to each member over its present connection.
	told map[string]map[string]rack.Digest
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
	// unheard is since when there is no connection from the member; zero while
	// there is one.
	unheard time.Time
}

func newDigestDuty(h *Host) *digestDuty {
	d := &digestDuty{
		host: h, changed: make(chan struct{}, 1), latest: map[string]rack.Digest{}, former: map[string]time.Time{},
		told: map[string]map[string]rack.Digest{}, known: map[string]knownDigest{}, lost: map[string]string{},
	}
	h.hub.OnConnect = d.connected
	h.hub.OnAccept = d.accepted
	h.hub.CountTrafficByRegion(h.regionOf)
	return d
}

func (h *Host) regionOf(id string) string {
	if id == h.name {
		return h.own.Region
	}
	m, _ := h.roster.Lookup(id)
	return m.Region
}

// tell notes a digest of an own rack. A rack without workers is gone.
func (d *digestDuty) tell(digest rack.Digest) {
	d.host.decide.put(eventOf(digest))
	d.mu.Lock()
	d.latest[digest.Rack] = digest
	delete(d.former, digest.Rack)
	d.mu.Unlock()
	d.signal()
}

func (d *digestDuty) signal() {
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// drop tells that this host owns a rack no more. For a while others are told of
// its workers, none of which takes anything: the next owner must know on which of
// them an attempt may run.
func (d *digestDuty) drop(name string) {
	d.mu.Lock()
	digest, ok := d.latest[name]
	if ok {
		digest.Sequence++
		digest.Workers = slices.Clone(digest.Workers)
		for i := range digest.Workers {
			digest.Workers[i].State = rack.Leaving
		}
		d.latest[name] = digest
		d.former[name] = time.Now()
	}
	d.mu.Unlock()
	if ok {
		d.host.decide.put(eventOf(digest))
		d.signal()
	}
}

// expire forgets the racks that were handed over long ago.
func (d *digestDuty) expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, since := range d.former {
		if now.Sub(since) > worker.LapseLength {
			delete(d.former, name)
			delete(d.latest, name)
		}
	}
}

// own returns the digest of a rack that this host owns, with d.mu held.
func (d *digestDuty) own(name string) (rack.Digest, bool) {
	if _, former := d.former[name]; former {
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
				near = time.After(nearPause)
			}
			if far == nil {
				far = time.After(farPause)
			}
		case <-near:
			near = nil
			d.offer(true)
		case <-far:
			far = nil
			d.offer(false)
		case <-ticker.C:
			d.link()
			d.age(time.Now())
			d.regain()
			d.expire(time.Now())
		}
	}
}

// link keeps links to every member that may own something, and to those that this
// host has to ask.
func (d *digestDuty) link() {
	names := d.host.witnesses.wanted()
	for _, m := range d.host.roster.PossibleOwners() {
		if !slices.Contains(names, m.ID) {
			names = append(names, m.ID)
		}
	}
	d.host.hub.Connect(slices.DeleteFunc(names, func(name string) bool { return name == d.host.name }))
}

// offer lets the links to the members of the own region, or to the others, take
// what has changed.
func (d *digestDuty) offer(near bool) {
	for _, m := range d.host.roster.PossibleOwners() {
		if m.ID != d.host.name && (m.Region == d.host.own.Region) == near {
			d.offerTo(m.ID)
		}
	}
}

func (d *digestDuty) offerTo(member string) {
	// Without a connection there is nobody to tell; a new one is told all.
	_ = d.host.hub.SendLatest(member, peer.KindDigest, func() (any, bool) { return d.changesFor(member) })
}

// changesFor returns what a member was not told yet and notes that it was.
func (d *digestDuty) changesFor(member string) (peer.Digests, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	told := d.told[member]
	if told == nil {
		told = map[string]rack.Digest{}
		d.told[member] = told
	}
	var out peer.Digests
	for _, name := range slices.Sorted(maps.Keys(d.latest)) {
		digest := d.latest[name]
		if digest.Newer(told[name]) {
			out.Changes = append(out.Changes, peer.NewDigestChange(told[name], digest))
			told[name] = digest
		}
	}
	return out, len(out.Changes) > 0
}

// connected tells a member everything over a new connection.
func (d *digestDuty) connected(member string) {
	d.mu.Lock()
	delete(d.told, member)
	d.mu.Unlock()
	d.offerTo(member)
	d.host.shares.connected(member)
	d.host.configure.connected(member)
}

package entry

import (
	"time"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/partition"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/rack"
)

// What a host knows of the racks of other members, from their digests.

// accepted looks for a member that this host does not know yet, so that it can
// be reached too.
func (d *digestDuty) accepted(member string) {
	if _, known := d.host.roster.Lookup(member); !known {
		d.host.owning.tell()
	}
}

// wanted tells a member the whole digests that it asks for.
func (d *digestDuty) wanted(from string, w peer.DigestWanted) {
	d.mu.Lock()
	for _, name := range w.Racks {
		delete(d.told[from], name)
	}
	d.mu.Unlock()
	d.offerTo(from)
}

// take takes digests of another member, and asks for those that do not follow
// on what is known.
func (d *digestDuty) take(from string, m peer.Digests) {
	var missing []string
	for _, c := range m.Changes {
		d.mu.Lock()
		before := d.known[c.Rack]
		digest, ok := c.Apply(before.digest)
		newer := ok && digest.Newer(before.digest)
		if newer {
			d.known[c.Rack] = knownDigest{from: from, digest: digest}
			delete(d.lost, c.Rack)
		}
		d.mu.Unlock()
		switch {
		case newer:
			d.host.racks.saw(digest)
			d.host.decide.put(eventOf(digest))
		case !ok && before.digest.Epoch <= c.Epoch:
			missing = append(missing, c.Rack)
		}
	}
	if len(missing) > 0 {
		d.want(from, missing)
	}
}

// ownerOf returns the member that owns a rack: the one whose digest is known, or
// else the one of the owner rows, which are read from time to time only.
func (d *digestDuty) ownerOf(name string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	own, mine := d.own(name)
	k, known := d.known[name]
	switch {
	case mine && own.Epoch >= k.digest.Epoch:
		return d.host.name
	case known:
		return k.from
	default:
		return d.host.owners.Claim(partition.RackPrefix + name).Owner
	}
}

// lose notes that the core has dropped a rack whose owner could not be told.
func (d *digestDuty) lose(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if k, ok := d.known[name]; ok || d.lost[name] == "" {
		d.lost[name] = k.from
	}
	delete(d.known, name)
}

// regain asks for the digests of lost racks where their owners can be reached
// again.
func (d *digestDuty) regain() {
	d.mu.Lock()
	var own []rack.Digest
	wanted := map[string][]string{}
	for name, from := range d.lost {
		digest, mine := d.own(name)
		switch {
		case mine:
			own = append(own, digest)
			delete(d.lost, name)
		case d.host.hub.Reachable(from):
			wanted[from] = append(wanted[from], name)
		}
	}
	d.mu.Unlock()
	for _, digest := range own {
		d.host.decide.put(eventOf(digest))
	}
	for from, names := range wanted {
		d.want(from, names)
	}
}

// want asks a member for whole digests.
func (d *digestDuty) want(from string, names []string) {
	if err := d.host.hub.Send(from, peer.KindDigestWanted, peer.DigestWanted{Racks: names}); err != nil {
		d.host.log.Debugf("Rack: digests of %s are missing: %v.", from, err)
	}
}

// age drops the digests of members that have been cut off for long. A member
// that connects again tells its digests as a whole.
func (d *digestDuty) age(now time.Time) {
	var gone []string
	d.mu.Lock()
	for name, k := range d.known {
		switch {
		case d.host.hub.ReachableFrom(k.from):
			k.unheard = time.Time{}
			d.known[name] = k
		case k.unheard.IsZero():
			k.unheard = now
			d.known[name] = k
		case now.Sub(k.unheard) > digestAge:
			delete(d.known, name)
			gone = append(gone, name)
		}
	}
	d.mu.Unlock()
	for _, name := range gone {
		if !d.host.racks.owns(name) {
			d.host.decide.put(decision.RackUnreachable{Rack: name})
		}
	}
}

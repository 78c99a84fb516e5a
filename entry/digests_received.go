package entry

import (
	"time"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/partition"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/rack"
)

// What a host knows of the racks of other members, from their digests.

// onAccepted looks for a member that this host does not know yet, so that it can
// be reached too.
func (d *digestDuty) onAccepted(member string) {
	if _, known := d.host.roster.Lookup(member); !known {
		d.host.ownership.triggerScan()
	}
}

// receiveRequest tells a member the whole digests that it asks for.
func (d *digestDuty) receiveRequest(from string, w peer.DigestWanted) {
	d.mu.Lock()
	for _, name := range w.Racks {
		delete(d.sent[from], name)
	}
	d.mu.Unlock()
	d.offerTo(from)
}

// receive takes digests of another member, and asks for those that do not follow
// on what is known.
func (d *digestDuty) receive(from string, m peer.Digests) {
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
			d.host.racks.observeDigest(digest)
			d.host.decide.put(eventOf(digest))
		case !ok && before.digest.Epoch <= c.Epoch:
			missing = append(missing, c.Rack)
		}
	}
	if len(missing) > 0 {
		d.requestDigests(from, missing)
	}
}

// ownerOf returns the member that owns a rack: the one whose digest is known, or
// else the one of the owner rows, which are read from time to time only.
func (d *digestDuty) ownerOf(name string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	own, mine := d.ownDigest(name)
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

// markLost notes that the core has dropped a rack whose owner could not be told.
func (d *digestDuty) markLost(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if k, ok := d.known[name]; ok || d.lost[name] == "" {
		d.lost[name] = k.from
	}
	delete(d.known, name)
}

// requestLost asks for the digests of lost racks where their owners can be reached
// again.
func (d *digestDuty) requestLost() {
	d.mu.Lock()
	var own []rack.Digest
	wanted := map[string][]string{}
	for name, from := range d.lost {
		digest, mine := d.ownDigest(name)
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
		d.requestDigests(from, names)
	}
}

// requestDigests asks a member for whole digests.
func (d *digestDuty) requestDigests(from string, names []string) {
	if err := d.host.hub.Send(from, peer.KindDigestWanted, peer.DigestWanted{Racks: names}); err != nil {
		d.host.log.Debugf("Rack: digests of %s are missing: %v.", from, err)
	}
}

// dropStale drops the digests of members that have been cut off for long. A member
// that connects again tells its digests as a whole.
func (d *digestDuty) dropStale(now time.Time) {
	var gone []string
	d.mu.Lock()
	for name, k := range d.known {
		switch {
		case d.host.hub.Heard(k.from):
			k.disconnectedSince = time.Time{}
			d.known[name] = k
		case k.disconnectedSince.IsZero():
			k.disconnectedSince = now
			d.known[name] = k
		case now.Sub(k.disconnectedSince) > digestTimeout:
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

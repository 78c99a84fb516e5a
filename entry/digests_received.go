package entry

import (
	"time"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/partition"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/rack"
)

// Digests received from other members.

// onAccepted triggers a scan if this host does not know the member that has connected,
// so that it learns the member's address.
func (d *digestDuty) onAccepted(member string) {
	if _, known := d.host.roster.Lookup(member); !known {
		d.host.ownership.triggerScan()
	}
}

// receiveRequest sends a member the full digests that it asks for.
func (d *digestDuty) receiveRequest(from string, w peer.DigestWanted) {
	d.mu.Lock()
	for _, name := range w.Racks {
		delete(d.sent[from], name)
	}
	d.mu.Unlock()
	d.offerTo(from)
}

// receive applies digest changes from another member, and requests the full digests of
// racks whose changes do not follow the known state.
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

// ownerOf returns the member that owns a rack: the sender of the known digest, or else
// the owner in the cached owner rows, which are refreshed only periodically.
func (d *digestDuty) ownerOf(name string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	digest, owned := d.ownDigest(name)
	k, known := d.known[name]
	switch {
	case owned && digest.Epoch >= k.digest.Epoch:
		return d.host.name
	case known:
		return k.from
	default:
		return d.host.owners.Claim(partition.RackPrefix + name).Owner
	}
}

// markLost records that the core has dropped a rack whose owner could not be reached.
func (d *digestDuty) markLost(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if k, ok := d.known[name]; ok || d.lost[name] == "" {
		d.lost[name] = k.from
	}
	delete(d.known, name)
}

// requestLost requests the digests of lost racks whose owners are reachable again. Lost
// racks that this host owns by now are put back into the core.
func (d *digestDuty) requestLost() {
	d.mu.Lock()
	var owned []rack.Digest
	wanted := map[string][]string{}
	for name, from := range d.lost {
		digest, ok := d.ownDigest(name)
		switch {
		case ok:
			owned = append(owned, digest)
			delete(d.lost, name)
		case d.host.hub.Reachable(from):
			wanted[from] = append(wanted[from], name)
		}
	}
	d.mu.Unlock()
	for _, digest := range owned {
		d.host.decide.put(eventOf(digest))
	}
	for from, names := range wanted {
		d.requestDigests(from, names)
	}
}

// requestDigests asks a member for full digests.
func (d *digestDuty) requestDigests(from string, names []string) {
	if err := d.host.hub.Send(from, peer.KindDigestWanted, peer.DigestWanted{Racks: names}); err != nil {
		d.host.log.Debugf("Rack: request for digests of %s not sent: %v.", from, err)
	}
}

// dropStale drops the digests of members that have been disconnected for longer than
// digestTimeout. A member that reconnects sends its digests in full.
func (d *digestDuty) dropStale(now time.Time) {
	var expired []string
	d.mu.Lock()
	for name, k := range d.known {
		switch {
		case d.host.hub.ReachableFrom(k.from):
			k.disconnectedSince = time.Time{}
			d.known[name] = k
		case k.disconnectedSince.IsZero():
			k.disconnectedSince = now
			d.known[name] = k
		case now.Sub(k.disconnectedSince) > digestTimeout:
			delete(d.known, name)
			expired = append(expired, name)
		}
	}
	d.mu.Unlock()
	for _, name := range expired {
		if !d.host.racks.owns(name) {
			d.host.decide.put(decision.RackUnreachable{Rack: name})
		}
	}
}

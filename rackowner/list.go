package rackowner

import (
	"time"

	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/worker"
)

// list is the platform's list of workers as this host has seen it over time. It
// covers all racks, since a rack may be claimed after one of its workers left.
type list struct {
	hosts   map[string]tablestore.Host
	drained map[string]bool
	// left holds the workers that are listed no more, until their leases have
	// lapsed.
	left map[string]departure
	// since is when the list was first seen.
	since time.Time
}

// departure is a worker that left the list.
type departure struct {
	host tablestore.Host
	at   time.Time
}

func (l *list) update(now time.Time, hosts []tablestore.Host, drained map[string]bool) {
	if l.since.IsZero() {
		l.since = now
		l.left = map[string]departure{}
	}
	fresh := make(map[string]tablestore.Host, len(hosts))
	for _, h := range hosts {
		fresh[h.ID] = h
		delete(l.left, h.ID)
	}
	for id, h := range l.hosts {
		if _, ok := fresh[id]; !ok {
			l.left[id] = departure{host: h, at: now}
		}
	}
	for id, d := range l.left {
		if now.Sub(d.at) > worker.LapseLength {
			delete(l.left, id)
		}
	}
	l.hosts, l.drained = fresh, drained
}

// placeOf returns the region and zone of a rack, or "" if no worker is known.
func (l *list) placeOf(rack string) (region, zone string) {
	for _, h := range l.hosts {
		if h.Rack == rack {
			return h.Region, h.Zone
		}
	}
	for _, d := range l.left {
		if d.host.Rack == rack {
			return d.host.Region, d.host.Zone
		}
	}
	return "", ""
}

// has reports whether a worker is listed in a rack.
func (l *list) has(id, rack string) bool {
	h, listed := l.hosts[id]
	return listed && h.Rack == rack
}

// leaving reports whether a worker of a rack takes nothing new.
func (l *list) leaving(id, rack string) bool {
	return !l.has(id, rack) || l.hosts[id].State == tablestore.Leaving || l.drained[id]
}

// known reports whether every worker that may run an attempt is on the list or
// in left. A list that was seen for less than a lease may lack one that left
// just before.
func (l *list) known(now time.Time) bool {
	return !l.since.IsZero() && now.Sub(l.since) > worker.LapseLength
}

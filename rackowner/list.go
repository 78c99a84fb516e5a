package rackowner

import (
	"time"

	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/worker"
)

// workerList is the platform's list of workers with its recent removals. It covers all
// racks, since a rack may be claimed after one of its workers was removed from the list.
type workerList struct {
	hosts   map[string]tablestore.Host
	drained map[string]bool
	// removed holds the workers that are no longer listed, until their leases have lapsed.
	removed map[string]removal
	// firstReadAt is when the list was first read; zero if it was not.
	firstReadAt time.Time
}

// removal is a worker that was removed from the list.
type removal struct {
	host tablestore.Host
	at   time.Time
}

func (l *workerList) update(now time.Time, hosts []tablestore.Host, drained map[string]bool) {
	if l.firstReadAt.IsZero() {
		l.firstReadAt = now
		l.removed = map[string]removal{}
	}
	fresh := make(map[string]tablestore.Host, len(hosts))
	for _, h := range hosts {
		fresh[h.ID] = h
		delete(l.removed, h.ID)
	}
	for id, h := range l.hosts {
		if _, ok := fresh[id]; !ok {
			l.removed[id] = removal{host: h, at: now}
		}
	}
	for id, d := range l.removed {
		if now.Sub(d.at) > worker.LeaseLapseTimeout {
			delete(l.removed, id)
		}
	}
	l.hosts, l.drained = fresh, drained
}

// location returns the region and zone of a rack, or "" if no worker of it is known.
func (l *workerList) location(rack string) (region, zone string) {
	for _, h := range l.hosts {
		if h.Rack == rack {
			return h.Region, h.Zone
		}
	}
	for _, d := range l.removed {
		if d.host.Rack == rack {
			return d.host.Region, d.host.Zone
		}
	}
	return "", ""
}

// isListed reports whether a worker is listed in a rack.
func (l *workerList) isListed(id, rack string) bool {
	h, listed := l.hosts[id]
	return listed && h.Rack == rack
}

// isLeaving reports whether a worker of a rack accepts no new attempts.
func (l *workerList) isLeaving(id, rack string) bool {
	return !l.isListed(id, rack) || l.hosts[id].State == tablestore.Leaving || l.drained[id]
}

// isComplete reports whether every worker that may run an attempt is in hosts or removed.
// Until LeaseLapseTimeout after the first read, the list may lack a worker that was removed
// just before and still holds a lease.
func (l *workerList) isComplete(now time.Time) bool {
	return !l.firstReadAt.IsZero() && now.Sub(l.firstReadAt) > worker.LeaseLapseTimeout
}

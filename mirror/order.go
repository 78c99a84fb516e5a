package mirror

import (
	"cmp"
	"slices"
	"time"
)

const (
	// fanOut is the number of hosts that ask the same host.
	fanOut = 16
	// minDistrust and maxDistrust bound how long a host that failed is not asked; the time doubles with
	// each failure in a row. One that answers and knows less than others is not asked for minDistrust:
	// after an outage of the store that holds for all.
	minDistrust = time.Second
	maxDistrust = 30 * time.Second
)

// Peer is a host of the region.
type Peer struct {
	Name, Address string
	// Processors is its share of processor time, in cores. Hosts with more are asked first.
	Processors float64
}

// failure is what a host remembers of one that failed.
type failure struct {
	until    time.Duration
	duration time.Duration
}

// order decides whom a host asks. The zero value trusts all hosts.
type order struct {
	failures map[string]failure
}

// above returns the hosts to ask, the best first, or none if this one is the root of the tree: no
// host before it in the order is trusted.
func (o *order) above(now time.Duration, self string, peers []Peer) []Peer {
	sorted := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.Name != self && now < o.failures[p.Name].until })
	slices.SortFunc(sorted, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.Processors, a.Processors), cmp.Compare(a.Name, b.Name))
	})
	i := slices.IndexFunc(sorted, func(p Peer) bool { return p.Name == self })
	if i <= 0 {
		return nil
	}
	return sorted[(i-1)/fanOut : i]
}

// fail notes that a host did not answer.
func (o *order) fail(now time.Duration, name string) {
	o.distrustFor(now, name, min(maxDistrust, max(minDistrust, 2*o.failures[name].duration)))
}

// distrust notes that a host knows less than others.
func (o *order) distrust(now time.Duration, name string) { o.distrustFor(now, name, minDistrust) }

func (o *order) distrustFor(now time.Duration, name string, duration time.Duration) {
	if o.failures == nil {
		o.failures = map[string]failure{}
	}
	o.failures[name] = failure{until: now + duration, duration: duration}
}

// succeed notes that a host has answered.
func (o *order) succeed(name string) { delete(o.failures, name) }

package carrier

import (
	"hash/fnv"
	"strconv"
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// minCarriedWorkers is the number of workers of a cell from which calls go through
	// carriers. An owner of 48 workers that makes its calls itself uses a tenth of a
	// core.
	minCarriedWorkers = 100
	// groupSize is the number of workers of a zone that one host carries for. 370 busy
	// workers get 1,600 calls per second, 280 of which are for one such group.
	groupSize = 64
	// minProcessorsRatio is the processor time that a host must have to be a carrier,
	// relative to the largest candidate host.
	minProcessorsRatio = 0.5
	// suspectTimeout is how long a host that gave no answer is not used as a carrier.
	suspectTimeout = 3 * time.Second
)

// Peer is an entry host that can be reached.
type Peer struct {
	Host, Zone string
	// Processors is the host's share of processor time, in cores.
	Processors float64
}

// group is a part of the workers of a zone. One host carries for all of them.
type group struct {
	zone   string
	number int
}

// routes determines which host carries for which worker. The zero value has no carriers.
type routes struct {
	// groups holds the group of each worker; it is empty for a small cell.
	groups map[string]group
	// carriers holds the carrier of each group, as of the last selection.
	carriers map[group]string
	// suspectUntil holds the time until which a host that gave no answer is excluded.
	suspectUntil map[string]time.Duration
}

// setFleet sets the workers of the cell and assigns them to groups.
func (r *routes) setFleet(workers []workload.Worker) {
	r.groups = nil
	if len(workers) < minCarriedWorkers {
		return
	}
	zones := map[string]int{}
	for _, w := range workers {
		zones[w.Zone]++
	}
	r.groups = make(map[string]group, len(workers))
	for _, w := range workers {
		groups := (zones[w.Zone] + groupSize - 1) / groupSize
		r.groups[w.ID] = group{w.Zone, int(hashOf(w.ID) % uint32(groups))}
	}
}

// markSuspect excludes a host for some time.
func (r *routes) markSuspect(now time.Duration, host string) {
	if r.suspectUntil == nil {
		r.suspectUntil = map[string]time.Duration{}
	}
	r.suspectUntil[host] = now + suspectTimeout
}

// assign selects a carrier for each group among the hosts that can be reached.
func (r *routes) assign(now time.Duration, peers []Peer) {
	r.carriers = map[group]string{}
	var usable []Peer
	for _, p := range peers {
		if now >= r.suspectUntil[p.Host] {
			usable = append(usable, p)
		}
	}
	for _, g := range r.groups {
		if _, ok := r.carriers[g]; !ok {
			r.carriers[g] = selectCarrier(g, usable)
		}
	}
}

// carrierFor returns the carrier of a worker, or false if there is none.
func (r *routes) carrierFor(worker string) (string, bool) {
	g, ok := r.groups[worker]
	if !ok {
		return "", false
	}
	host := r.carriers[g]
	return host, host != ""
}

// selectCarrier returns the carrier of a group by rendezvous hashing over the larger
// hosts of its zone, so that most groups keep their carrier when hosts come and go. If
// the zone has no host, hosts of all zones are candidates.
func selectCarrier(g group, peers []Peer) string {
	var candidates []Peer
	for _, p := range peers {
		if p.Zone == g.zone {
			candidates = append(candidates, p)
		}
	}
	if len(candidates) == 0 {
		candidates = peers
	}
	largest := 0.0
	for _, p := range candidates {
		largest = max(largest, p.Processors)
	}
	selected, highest := "", uint32(0)
	for _, p := range candidates {
		if p.Processors < minProcessorsRatio*largest {
			continue
		}
		if h := hashOf(g.zone + "/" + strconv.Itoa(g.number) + "/" + p.Host); selected == "" || h > highest {
			selected, highest = p.Host, h
		}
	}
	return selected
}

func hashOf(text string) uint32 {
	hash := fnv.New32a()
	// Write to a hash never returns an error.
	_, _ = hash.Write([]byte(text))
	return hash.Sum32()
}

package carrier

import (
	"hash/fnv"
	"strconv"
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// carryFrom is the least number of workers of a cell whose calls are carried. An
	// owner of 48 that makes the calls itself takes a tenth of a core.
	carryFrom = 100
	// groupSize is how many workers of a zone one host carries for. 370 busy workers get
	// 1,600 calls a second, of which 280 are for such a group.
	groupSize = 64
	// ableShare is the part of the processor time of the largest host in reach from
	// which another one carries as well.
	ableShare = 0.5
	// suspectRest is how long a host that gave no answer carries nothing.
	suspectRest = 3 * time.Second
)

// Peer is an entry host that can be reached.
type Peer struct {
	Host, Zone string
	// Processors is its share of processor time, in cores.
	Processors float64
}

// group is a part of the workers of a zone that one host carries for.
type group struct {
	zone   string
	number int
}

// routes tells which host carries for which worker. The zero value carries nothing.
type routes struct {
	// groups holds the group of each worker; it is empty for a small cell.
	groups map[string]group
	// carriers holds the host of each group, as of the last choice.
	carriers map[group]string
	// suspects holds until when a host that gave no answer is passed over.
	suspects map[string]time.Duration
}

// setFleet takes the workers of the cell.
func (r *routes) setFleet(workers []workload.Worker) {
	r.groups = nil
	if len(workers) < carryFrom {
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

// suspect passes a host over for some time.
func (r *routes) suspect(now time.Duration, host string) {
	if r.suspects == nil {
		r.suspects = map[string]time.Duration{}
	}
	r.suspects[host] = now + suspectRest
}

// choose gives each group a host out of those that can be reached.
func (r *routes) choose(now time.Duration, peers []Peer) {
	r.carriers = map[group]string{}
	var sound []Peer
	for _, p := range peers {
		if now >= r.suspects[p.Host] {
			sound = append(sound, p)
		}
	}
	for _, g := range r.groups {
		if _, ok := r.carriers[g]; !ok {
			r.carriers[g] = carrierOf(g, sound)
		}
	}
}

// of returns the host that carries for a worker, or false if none does.
func (r *routes) of(worker string) (string, bool) {
	g, ok := r.groups[worker]
	if !ok {
		return "", false
	}
	host := r.carriers[g]
	return host, host != ""
}

// carrierOf returns the host for a group: one of the larger hosts of its zone, the same
// one as long as it can be reached. Where a zone has none, any host serves.
func carrierOf(g group, peers []Peer) string {
	var near []Peer
	for _, p := range peers {
		if p.Zone == g.zone {
			near = append(near, p)
		}
	}
	if len(near) == 0 {
		near = peers
	}
	largest := 0.0
	for _, p := range near {
		largest = max(largest, p.Processors)
	}
	chosen, highest := "", uint32(0)
	for _, p := range near {
		if p.Processors < ableShare*largest {
			continue
		}
		if h := hashOf(g.zone + "/" + strconv.Itoa(g.number) + "/" + p.Host); chosen == "" || h > highest {
			chosen, highest = p.Host, h
		}
	}
	return chosen
}

func hashOf(text string) uint32 {
	hash := fnv.New32a()
	// A hash never fails to take bytes.
	_, _ = hash.Write([]byte(text))
	return hash.Sum32()
}

package witness

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillaquay/vanillaquay/member"
)

const (
	// MaxPerRegion is the most witnesses that a region has.
	MaxPerRegion = 15
	// pairSize is the number of members of a region of which neither could do
	// anything without the other, so that a member of another region is asked too.
	pairSize = 2
)

// Select returns the names of the witnesses of a region, in the order of a hash: up to
// Limit of its members, whatever their state. Every member works out the same ones.
func Select(region string, members []member.Member) []string {
	var own, others []string
	for _, m := range members {
		if m.Region == region {
			own = append(own, m.ID)
		} else {
			others = append(others, m.ID)
		}
	}
	byHash(region, own)
	byHash(region, others)
	if len(own) == pairSize && len(others) > 0 {
		own = append(own, others[0])
	}
	return own[:min(len(own), MaxPerRegion)]
}

func byHash(region string, names []string) {
	weight := func(name string) uint64 { return xxhash.Sum64String(region + "\x00" + name) }
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b))
	})
}

package witness

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillaquay/vanillaquay/member"
)

const (
	// MaxPerRegion bounds the witnesses of a region.
	MaxPerRegion = 15
	// pairSize is the size of a region in which neither member could get a majority
	// without the other, so that a member of another region becomes a witness too.
	pairSize = 2
)

// Select returns the names of the witnesses of a region: up to MaxPerRegion of its
// members in any state, in the order of a hash, so that every member selects the same
// ones. A region of two members gets a third witness from another region, if there is
// one.
func Select(region string, members []member.Member) []string {
	var local, remote []string
	for _, m := range members {
		if m.Region == region {
			local = append(local, m.ID)
		} else {
			remote = append(remote, m.ID)
		}
	}
	sortByHash(region, local)
	sortByHash(region, remote)
	if len(local) == pairSize && len(remote) > 0 {
		local = append(local, remote[0])
	}
	return local[:min(len(local), MaxPerRegion)]
}

func sortByHash(region string, names []string) {
	weight := func(name string) uint64 { return xxhash.Sum64String(region + "\x00" + name) }
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b))
	})
}

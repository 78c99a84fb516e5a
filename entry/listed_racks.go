package entry

import (
	"slices"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/tablestore"
)

// updateListedRacks tells the core which racks the platform lists, if they have changed.
// Only one look at a time calls it.
func (h *Host) updateListedRacks(hosts []tablestore.Host) {
	var racks []string
	for _, w := range hosts {
		racks = append(racks, w.Rack)
	}
	slices.Sort(racks)
	racks = slices.Compact(racks)
	if slices.Equal(racks, h.ownership.listedRacks) {
		return
	}
	h.ownership.listedRacks = racks
	h.decide.put(decision.RacksListed{Racks: racks})
}

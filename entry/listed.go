package entry

import (
	"slices"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/tablestore"
)

// listRacks tells the core which racks the platform lists, if they have changed.
// Only one look at a time calls it.
func (h *Host) listRacks(hosts []tablestore.Host) {
	var racks []string
	for _, w := range hosts {
		racks = append(racks, w.Rack)
	}
	slices.Sort(racks)
	racks = slices.Compact(racks)
	if slices.Equal(racks, h.owning.listed) {
		return
	}
	h.owning.listed = racks
	h.decide.put(decision.RacksListed{Racks: racks})
}

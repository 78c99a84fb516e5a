package entry

import (
	"slices"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/tablestore"
)

// updateListedRacks passes the racks in the platform's list of workers to the core, if
// they have changed. Only one scan at a time calls it.
func (h *Host) updateListedRacks(workers []tablestore.Host) {
	var racks []string
	for _, w := range workers {
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

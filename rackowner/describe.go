package rackowner

import (
	"maps"
	"slices"

	"github.com/vanillaquay/vanillaquay/chart"
	"github.com/vanillaquay/vanillaquay/rack"
)

// Description is the state of one owned rack.
type Description struct {
	// State is a state of the chart Rack.
	State chart.State
	// Attempts counts the attempts that have a reservation or an unacknowledged end.
	Attempts int
	Digest   rack.Digest
}

// Describe returns the owned racks sorted by name.
func (o *Owner) Describe() []Description {
	var all []Description
	for _, name := range slices.Sorted(maps.Keys(o.racks)) {
		r := o.racks[name]
		all = append(all, Description{State: r.state, Attempts: len(r.attempts), Digest: r.rack.Digest()})
	}
	return all
}

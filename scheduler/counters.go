package scheduler

import (
	"sync/atomic"

	"github.com/vanillaquay/vanillaquay/metric"
)

// Counters count what an owner does. The zero value is ready.
type Counters struct {
	Accepted, Refused, Starts, Stops, Holds, Fenced, EventsDropped atomic.Int64
	// Commit is the time of a transaction, Order that of a start.
	Commit, Order metric.Histogram
}

package scheduler

import (
	"sync/atomic"

	"github.com/vanillaquay/vanillaquay/metric"
)

// Counters counts what owners on this host do. The zero value is ready to use.
type Counters struct {
	// WithdrawnKeys counts calls whose key only the earlier version of their host has.
	WithdrawnKeys atomic.Int64
	// WaitedQueries counts queries whose reply waited for the end of their job, and EndedQueries
	// those of them whose job ended meanwhile.
	WaitedQueries, EndedQueries atomic.Int64
	// DividedQuestions counts advice questions that were asked in several parts.
	DividedQuestions atomic.Int64
	// UnknownCancels counts cancellations of jobs that the owner does not know.
	UnknownCancels atomic.Int64
	// BacklogRefused counts jobs that were refused because the hosts of the cell have no memory for
	// them, and BacklogBytes is the memory of its jobs as of the last new one, in bytes.
	BacklogRefused, BacklogBytes atomic.Int64
	// RejectedRows counts rows that the store has rejected for good.
	RejectedRows                                                   atomic.Int64
	Accepted, Refused, Starts, Stops, Holds, Fenced, EventsDropped atomic.Int64
	// Commit is the duration of transactions, Order that of start orders.
	Commit, Order metric.Histogram
}

package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// Options are the limits of a core. The zero value takes the defaults.
type Options struct {
	// Region is where the driver runs; its racks are preferred.
	Region string
	// QueueLimit is the most work that waits; above it new work is refused.
	// 0 is DefaultQueueLimit.
	QueueLimit int
	// TeamQueueLimit is the most work of one team that waits. 0 is an eighth
	// of QueueLimit.
	TeamQueueLimit int
	// Attempts is the most attempts of one task that end with an error of
	// their own. 0 is DefaultAttempts.
	Attempts int
	// Remember is how long the final answer of work with a record is kept: a
	// repeat of its ID within that time is never run again. 0 is
	// DefaultRemember.
	Remember time.Duration
	// RememberBrief is the same for a request that is safe to repeat. 0 is
	// DefaultRememberBrief.
	RememberBrief time.Duration
	// Discovery is how long after the last new rack the cell counts as not
	// fully known, so that no work is said never to fit. 0 is
	// DefaultDiscovery; below 0 is none.
	Discovery time.Duration
	// Partition returns the partition of a key. The end of an attempt whose
	// work is not known is forgotten only if the driver holds the partition.
	// Nil is for a driver that holds every partition.
	Partition func(task.Key) string
	// Seed seeds the jitter of retries.
	Seed uint64
}

// Defaults of Options.
const (
	DefaultQueueLimit    = 100_000
	DefaultAttempts      = 5
	DefaultRemember      = time.Hour
	DefaultRememberBrief = time.Minute
	DefaultDiscovery     = 2 * time.Second
)

// DefaultRetryAfter is when a refused caller is told to come back at the
// earliest.
const DefaultRetryAfter = time.Second

// teamQueueDivisor is the part of the queue that one team may fill.
const teamQueueDivisor = 8

func (o Options) withDefaults() Options {
	if o.QueueLimit == 0 {
		o.QueueLimit = DefaultQueueLimit
	}
	if o.TeamQueueLimit == 0 {
		o.TeamQueueLimit = max(1, o.QueueLimit/teamQueueDivisor)
	}
	if o.Attempts == 0 {
		o.Attempts = DefaultAttempts
	}
	if o.Remember == 0 {
		o.Remember = DefaultRemember
	}
	if o.RememberBrief == 0 {
		o.RememberBrief = DefaultRememberBrief
	}
	if o.Discovery == 0 {
		o.Discovery = DefaultDiscovery
	}
	return o
}

// remember returns how long the final answer of work is kept.
func (o Options) remember(w task.Work) time.Duration {
	if w.NeedsDurableRecord() {
		return o.Remember
	}
	return o.RememberBrief
}

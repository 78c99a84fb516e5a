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
	// MaxAttempts is the most attempts of one task that end with an error of
	// their own. 0 is DefaultAttempts.
	MaxAttempts int
	// Retention is how long the final answer of work with a record is kept: a
	// repeat of its ID within that time is never run again. 0 is
	// DefaultRemember.
	Retention time.Duration
	// ShortRetention is the same for a request that is safe to repeat. 0 is
	// DefaultRememberBrief.
	ShortRetention time.Duration
	// DiscoveryPeriod is how long after the last new rack the cell counts as not
	// fully known, so that no work is said never to fit. 0 is
	// DefaultDiscovery; below 0 is none.
	DiscoveryPeriod time.Duration
	// PartitionOf returns the partition of a key. The end of an attempt whose
	// work is not known is forgotten only if the driver holds the partition.
	// Nil is for a driver that holds every partition.
	PartitionOf func(task.Key) string
	// Seed seeds the jitter of retries.
	Seed uint64
}

// Defaults of Options.
const (
	DefaultQueueLimit      = 100_000
	DefaultMaxAttempts     = 5
	DefaultRetention       = time.Hour
	DefaultShortRetention  = time.Minute
	DefaultDiscoveryPeriod = 2 * time.Second
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
	if o.MaxAttempts == 0 {
		o.MaxAttempts = DefaultMaxAttempts
	}
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	if o.ShortRetention == 0 {
		o.ShortRetention = DefaultShortRetention
	}
	if o.DiscoveryPeriod == 0 {
		o.DiscoveryPeriod = DefaultDiscoveryPeriod
	}
	return o
}

// retention returns how long the final answer of work is kept.
func (o Options) retention(w task.Work) time.Duration {
	if w.NeedsDurableRecord() {
		return o.Retention
	}
	return o.ShortRetention
}

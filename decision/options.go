package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// Options are the limits of a core. A zero field stands for its default.
type Options struct {
	// Region is where the driver runs; its racks are preferred.
	Region string
	// QueueLimit is the maximum number of queued jobs; new work beyond it is
	// refused. 0 means DefaultQueueLimit.
	QueueLimit int
	// TeamQueueLimit is the maximum number of queued jobs of one team. 0 means
	// an eighth of QueueLimit.
	TeamQueueLimit int
	// MemoryLimit is the maximum memory of the jobs that have not ended, in bytes; new work beyond it
	// is refused. 0 means no limit.
	MemoryLimit int64
	// MaxAttempts is how many attempts of one task may end with an error of the
	// task itself. 0 means DefaultMaxAttempts.
	MaxAttempts int
	// Retention is how long the final answer of work with a durable record is
	// kept. Within that time, work submitted again under the same ID is not run
	// again. 0 means DefaultRetention.
	Retention time.Duration
	// ShortRetention is the same for an idempotent request, which has no
	// record. 0 means DefaultShortRetention.
	ShortRetention time.Duration
	// DiscoveryPeriod is how long after capacity was last added the cell counts
	// as incomplete; until then no work is refused as never fitting. 0 means
	// DefaultDiscoveryPeriod; a negative value disables the period.
	DiscoveryPeriod time.Duration
	// PartitionOf returns the partition of a key. The end of an attempt of
	// unknown work is forgotten only if the driver owns that partition. Nil
	// stands for a driver that owns every partition.
	PartitionOf func(task.Key) string
	// Seed seeds the jitter of retries and the random choice of racks.
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

// DefaultRetryAfter is the minimum RetryAfter of a refusal.
const DefaultRetryAfter = time.Second

// teamQueueDivisor divides QueueLimit to give the default TeamQueueLimit.
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

package virtual

import (
	"time"

	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/worker"
)

// Options are the delays and limits of the fakes. Fields that are zero get
// their defaults.
type Options struct {
	// Partitions is the number of partitions; all work of a team is in one.
	Partitions int
	// LinkDelay is the one-way delay between regions.
	LinkDelay time.Duration
	// LocalDelay is the one-way delay within a region.
	LocalDelay time.Duration
	// WriteDelay is the duration of one write to the store.
	WriteDelay time.Duration
	// WriteLimit is the maximum number of rows a second over all partitions.
	WriteLimit int
	// DigestInterval is the time from a change in a rack to the digest that
	// reports it; changes meanwhile share that digest. RemoteDigestInterval is
	// that of racks in other regions.
	DigestInterval, RemoteDigestInterval time.Duration
	// UsageInterval is the interval between usage reports of an attempt, and
	// the delay of the first.
	UsageInterval time.Duration
	// Drain is how long the run may continue after the load's length.
	Drain time.Duration
}

// Defaults of Options.
const (
	DefaultPartitions           = 6
	DefaultLinkDelay            = 20 * time.Millisecond
	DefaultLocalDelay           = time.Millisecond
	DefaultWriteDelay           = 5 * time.Millisecond
	DefaultWriteLimit           = tablestore.JournalWriteBudget
	DefaultDigestInterval       = 20 * time.Millisecond
	DefaultRemoteDigestInterval = time.Second
	DefaultUsageInterval        = 10 * time.Second
	DefaultDrain                = 2 * time.Minute
)

// Fixed times of the fakes.
const (
	// tickInterval is the interval between ticks of the scheduler.
	tickInterval = 100 * time.Millisecond
	// silentAfter is how long after a worker stops responding its rack marks it
	// silent.
	silentAfter = 2 * time.Second
	// lostAfter is how long after a worker stops responding its lease has
	// certainly lapsed.
	lostAfter = worker.LeaseLapseTimeout + tickInterval
	// holdTimeout is how long capacity is held for an all-at-once job that is
	// not confirmed.
	holdTimeout = 10 * time.Second
	// appendTimeout is the timeout of a row's write while the store is down.
	appendTimeout = 80 * time.Millisecond
	// storeRetryInterval is the delay before a failed write to the store is
	// retried.
	storeRetryInterval = 250 * time.Millisecond
	// leaseTimeout is how long the scheduler may record after the store failed.
	leaseTimeout = 6 * time.Second
	// checkpointTime is the duration of a checkpoint.
	checkpointTime = 200 * time.Millisecond
	// failureDelay is how long an attempt runs on a failing worker.
	failureDelay = 50 * time.Millisecond
	// writeBurst is the number of rows that can be written without delay after
	// a period of few writes.
	writeBurst = 16
	// maxRowEntries is the maximum number of entries in a row.
	maxRowEntries = 512
)

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

func (o Options) withDefaults() Options {
	o.Partitions = orDefault(o.Partitions, DefaultPartitions)
	o.LinkDelay = orDefault(o.LinkDelay, DefaultLinkDelay)
	o.LocalDelay = orDefault(o.LocalDelay, DefaultLocalDelay)
	o.WriteDelay = orDefault(o.WriteDelay, DefaultWriteDelay)
	o.WriteLimit = orDefault(o.WriteLimit, DefaultWriteLimit)
	o.DigestInterval = orDefault(o.DigestInterval, DefaultDigestInterval)
	o.RemoteDigestInterval = orDefault(o.RemoteDigestInterval, DefaultRemoteDigestInterval)
	o.UsageInterval = orDefault(o.UsageInterval, DefaultUsageInterval)
	o.Drain = orDefault(o.Drain, DefaultDrain)
	return o
}

package virtual

import (
	"time"

	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/worker"
)

// Options are the delays and limits of the fakes. The zero value takes the
// defaults.
type Options struct {
	// Partitions is the number of partitions; a team's work is in one.
	Partitions int
	// LinkDelay is one way between the regions.
	LinkDelay time.Duration
	// LocalDelay is one way within a region.
	LocalDelay time.Duration
	// WriteDelay is the time of one write to the store.
	WriteDelay time.Duration
	// WriteLimit is the most rows a second over all partitions.
	WriteLimit int
	// DigestInterval is the least pause between two digests of a rack, FarPause
	// that of a rack in another region.
	DigestInterval, RemoteDigestInterval time.Duration
	// UsageInterval is the pause between two reports of the use of an attempt,
	// and the lag of the first.
	UsageInterval time.Duration
	// Drain is how long the run goes on after the last arrival.
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
	// tickInterval is the pause between two ticks of the scheduler.
	tickInterval = 100 * time.Millisecond
	// silentAfter is when an unanswered worker counts as silent.
	silentAfter = 2 * time.Second
	// lostAfter is when the lease of a silent worker has lapsed for certain.
	lostAfter = worker.LeaseLapseTimeout + tickInterval
	// holdTimeout is how long room is kept for an all-at-once job.
	holdTimeout = 10 * time.Second
	// appendTimeout is how long a row waits for a store that is down.
	appendTimeout = 80 * time.Millisecond
	// storeRetryInterval is the pause before a store that failed is tried again.
	storeRetryInterval = 250 * time.Millisecond
	// leaseTimeout is how long the scheduler may record after the store failed.
	leaseTimeout = 6 * time.Second
	// checkpointTime is how long a checkpoint takes.
	checkpointTime = 200 * time.Millisecond
	// failureDelay is how long a failing worker runs an attempt.
	failureDelay = 50 * time.Millisecond
	// writeBurst is the number of rows that are written without a pause after few
	// were written for a while.
	writeBurst = 16
	// maxRowEntries is the most entries of one row.
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

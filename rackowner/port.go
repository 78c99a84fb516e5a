package rackowner

import (
	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/worker"
)

// Port executes the decisions of an Owner.
type Port interface {
	// Open opens a link to a worker under the epoch of a rack.
	Open(rack string, epoch uint64, host tablestore.Host)
	// Close closes the link; nothing more is sent to the worker.
	Close(rack, worker string)
	// Send queues a command, or fails immediately.
	Send(rack, worker string, c worker.Command) error
	// SetLeaving sets whether starts queued for the worker are refused.
	SetLeaving(rack, worker string, leaving bool)
	// Report sends a report to the owner of the attempt's partition. A lost report is
	// either repeated or requested again.
	Report(r decision.Report)
	// Usage sends the resource usage of an attempt to the owner of its partition.
	Usage(u decision.Usage)
	// PublishDigest sends the digest of a rack to every member.
	PublishDigest(d rack.Digest)
}

package rackowner

import (
	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/worker"
)

// Port carries out what an Owner decides.
type Port interface {
	// Open begins to talk to a worker under the epoch of a rack.
	Open(rack string, epoch uint64, host tablestore.Host)
	// Close ends the talk; nothing more is sent to the worker.
	Close(rack, worker string)
	// Send queues a command, or fails at once.
	Send(rack, worker string, c worker.Command) error
	// SetLeaving tells whether starts that wait for the worker are refused.
	SetLeaving(rack, worker string, leaving bool)
	// Report tells the owner of the attempt's partition. A report that is lost
	// is repeated or asked for.
	Report(r decision.Report)
	// Usage tells the owner of the attempt's partition what an attempt uses.
	Usage(u decision.Usage)
	// PublishDigest tells every member what a rack has free.
	PublishDigest(d rack.Digest)
}

package scheduler

import (
	"context"
	"time"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/workload"
)

// Workers sends calls to workers. A call for another life than the worker has is not carried out,
// and results in cell.OtherLife or a cell.OtherLifeError.
type Workers interface {
	// SetFleet sets the workers of the cell whenever they change.
	SetFleet(workers []workload.Worker)
	Start(ctx context.Context, s platform.StartOrder) cell.Answer
	Stop(ctx context.Context, i platform.Instance, id workload.TaskID, run int, fence int64) cell.Answer
	Pace(ctx context.Context, i platform.Instance, id workload.TaskID, run int, fence int64, percent int) cell.Answer
	// Hold renews the lease of a worker until the given time on the worker's clock, in
	// milliseconds, or grants none if it is 0. It tells the worker that it may discard
	// its run ends up to acked, and returns the worker's report. The worker may delay its
	// answer by wait until another run ends.
	Hold(ctx context.Context, i platform.Instance, fence, acked, until int64, wait time.Duration) (platform.HoldResponse, error)
}

// Members gives access to the entry hosts, including this one.
type Members interface {
	// AdviceHosts returns the hosts that can query the advice service, sorted and
	// including this one.
	AdviceHosts() []string
	// SendQuestion sends a question to a host. It reports whether it could be sent.
	SendQuestion(host string, q Question) bool
	// Reply sends the reply to the call of a host.
	Reply(host string, answer intake.Answer)
}

// Question is a question for the advice service, sent to the host that is to query it.
type Question struct {
	Fence    int64         `cbor:"1,keyasint"`
	Question cell.Question `cbor:"2,keyasint"`
}

// Advice is the answer of the advice service to a question.
type Advice struct {
	Fence    int64         `cbor:"1,keyasint"`
	Question cell.Question `cbor:"2,keyasint"`
	// Tickets is nil if the query failed.
	Tickets map[string]string `cbor:"3,keyasint"`
	// Failed is the reason if the query failed.
	Failed string `cbor:"4,keyasint,omitempty"`
	// Took is the response time of the service.
	Took time.Duration `cbor:"5,keyasint,omitempty"`
	// Age is the time since the host received the answer, as of sending this message.
	Age time.Duration `cbor:"6,keyasint,omitempty"`
}

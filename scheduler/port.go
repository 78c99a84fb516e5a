package scheduler

import (
	"context"
	"time"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/workload"
)

// Workers sends orders to workers.
type Workers interface {
	// SetFleet takes the workers of the cell, each time that there are others.
	SetFleet(workers []workload.Worker)
	Start(ctx context.Context, s platform.Start) cell.Answer
	Stop(ctx context.Context, address, worker string, id workload.TaskID, run int, fence int64) cell.Answer
	Pace(ctx context.Context, address, worker string, id workload.TaskID, run int, fence int64, percent int) cell.Answer
	Hold(ctx context.Context, address, worker string, fence, seen, until int64, wait time.Duration) (platform.Lists, error)
}

// Members are the other entry hosts.
type Members interface {
	// AdviceHosts lists the hosts that can ask the advice service, sorted, this one
	// included.
	AdviceHosts() []string
	// SendQuestion passes a question on to a host. It reports false if it can't.
	SendQuestion(host string, q Question) bool
	// Reply answers the call of a host.
	Reply(host string, answer intake.Answer)
}

// Question is a question for the advice service, on its way to the host that asks.
type Question struct {
	Fence    int64         `cbor:"1,keyasint"`
	Question cell.Question `cbor:"2,keyasint"`
}

// Advice is what the advice service said.
type Advice struct {
	Fence    int64         `cbor:"1,keyasint"`
	Question cell.Question `cbor:"2,keyasint"`
	// Tickets is nil if the question failed.
	Tickets map[string]string `cbor:"3,keyasint"`
	// Failed is why it did.
	Failed string `cbor:"4,keyasint,omitempty"`
	// Took is how long the service took.
	Took time.Duration `cbor:"5,keyasint,omitempty"`
	// Age is how long ago the answer came when it was passed on.
	Age time.Duration `cbor:"6,keyasint,omitempty"`
}

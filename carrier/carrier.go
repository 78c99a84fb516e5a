package carrier

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/platform"
)

const (
	// answerBatchDelay is how long an answer waits for further answers to the same owner.
	answerBatchDelay = 20 * time.Millisecond
	// maxInFlight bounds the calls that a carrier has in flight.
	maxInFlight = 2048
	// maxCallAge is the age from which a call is dropped: by then its owner has sent
	// another copy.
	maxCallAge = 500 * time.Millisecond
)

// Carrier calls workers for the owner of the cell. Use NewCarrier to create one.
type Carrier struct {
	workers Workers
	// fence returns the fencing token of the latest owner that this host knows.
	fence func() int64
	// reply sends answers back to an owner. Answers that are lost count as no answer.
	reply func(owner string, a Answers)

	mu       sync.Mutex
	inFlight int
	waiting  map[ownerTenure][]Answer
}

// ownerTenure is an owner with one fencing token.
type ownerTenure struct {
	host  string
	fence int64
}

// NewCarrier returns a carrier that calls workers and replies to owners.
func NewCarrier(workers Workers, fence func() int64, reply func(owner string, a Answers)) *Carrier {
	return &Carrier{workers: workers, fence: fence, reply: reply, waiting: map[ownerTenure][]Answer{}}
}

// HandleCalls executes the calls of a batch concurrently, as some of them wait for
// seconds.
func (c *Carrier) HandleCalls(ctx context.Context, owner string, batch Calls) {
	received, requester := clock.Now(), ownerTenure{owner, batch.Fence}
	for n, each := range batch.Calls {
		if !c.acquireSlot() {
			c.queueAnswer(requester, Answer{Number: each.Number, Order: cell.Unsent, Why: "the carrier has too many calls"})
			continue
		}
		go func() {
			defer c.releaseSlot()
			c.queueAnswer(requester, c.execute(ctx, received, batch.Fence, batch.instance(n), each))
		}()
	}
}

func (c *Carrier) acquireSlot() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight >= maxInFlight {
		return false
	}
	c.inFlight++
	return true
}

func (c *Carrier) releaseSlot() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
}

// execute makes one call, unless its owner has been replaced or this host was suspended
// since it received the call.
func (c *Carrier) execute(ctx context.Context, received time.Duration, fence int64, i platform.Instance, call Call) Answer {
	if known := c.fence(); known > fence {
		return Answer{Number: call.Number, Order: cell.Fenced, Why: "the carrier knows of a later owner"}
	}
	if clock.Now()-received > maxCallAge {
		return Answer{Number: call.Number, Order: cell.Unsent, Why: "the call waited too long at the carrier"}
	}
	switch call.Verb {
	case Hold:
		return c.hold(ctx, fence, i, call)
	case Start:
		return Answer{Number: call.Number, Order: c.workers.Start(ctx, platform.StartOrder{
			Instance: i, Task: call.Task, Run: call.Run, Spec: call.Spec, LeaseUntil: call.Until, FencingToken: fence,
			Checkpoint: call.Checkpoint, Ticket: call.Ticket,
		})}
	case Stop:
		return Answer{Number: call.Number, Order: c.workers.Stop(ctx, i, call.Task, call.Run, fence)}
	case Pace:
		return Answer{Number: call.Number, Order: c.workers.Pace(ctx, i, call.Task, call.Run, fence, call.Percent)}
	default:
		return Answer{Number: call.Number, Order: cell.Invalid, Why: "unknown verb"}
	}
}

func (c *Carrier) hold(ctx context.Context, fence int64, i platform.Instance, call Call) Answer {
	lists, err := c.workers.Hold(ctx, i, fence, call.Seen, call.Until, call.Wait)
	if err == nil {
		return Answer{Number: call.Number, Order: cell.Accepted, Lists: encodeLists(lists)}
	}
	a := Answer{Number: call.Number, Order: cell.NoAnswer, Why: err.Error()}
	var other cell.OtherLifeError
	switch {
	case errors.Is(err, cell.ErrFenced):
		a.Order = cell.Fenced
	case errors.As(err, &other):
		a.Order, a.Lists = cell.OtherLife, &Lists{Life: other.Life}
	case errors.Is(err, cell.ErrOtherLife):
		a.Order = cell.OtherLife
	}
	return a
}

// queueAnswer adds an answer to the batch for its owner.
func (c *Carrier) queueAnswer(requester ownerTenure, a Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[requester] = append(c.waiting[requester], a)
	if len(c.waiting[requester]) == 1 {
		time.AfterFunc(answerBatchDelay, func() { c.flush(requester) })
	}
}

func (c *Carrier) flush(requester ownerTenure) {
	c.mu.Lock()
	answers := c.waiting[requester]
	delete(c.waiting, requester)
	c.mu.Unlock()
	c.reply(requester.host, Answers{Answers: answers, Fence: requester.fence})
}

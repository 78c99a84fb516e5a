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
	// answerPause is how long an answer waits for others to the same owner.
	answerPause = 20 * time.Millisecond
	// underWayMost bounds the calls that a carrier has under way.
	underWayMost = 2048
	// staleBound is the age from which a call is not made any more: its owner has sent
	// another copy.
	staleBound = 500 * time.Millisecond
)

// Carrier makes calls to workers for the owner of the cell. Use NewCarrier to make one.
type Carrier struct {
	workers Workers
	// fence returns the token of the latest owner that this host knows.
	fence func() int64
	// reply passes answers back to an owner; one that is lost counts as no answer.
	reply func(owner string, a Answers)

	mu       sync.Mutex
	underWay int
	waiting  map[asker][]Answer
}

// asker is an owner under one fencing token.
type asker struct {
	host  string
	fence int64
}

// NewCarrier returns a carrier that calls workers and replies to owners.
func NewCarrier(workers Workers, fence func() int64, reply func(owner string, a Answers)) *Carrier {
	return &Carrier{workers: workers, fence: fence, reply: reply, waiting: map[asker][]Answer{}}
}

// HandleCalls makes the calls of a batch, each in a duty of its own, as some wait for seconds.
func (c *Carrier) HandleCalls(ctx context.Context, owner string, batch Calls) {
	received, to := clock.Now(), asker{owner, batch.Fence}
	for _, each := range batch.Calls {
		if !c.enter() {
			c.answer(to, Answer{Number: each.Number, Order: cell.Unsent, Why: "the carrier has too many calls"})
			continue
		}
		go func() {
			defer c.leave()
			c.answer(to, c.carryOut(ctx, received, batch.Fence, each))
		}()
	}
}

func (c *Carrier) enter() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.underWay >= underWayMost {
		return false
	}
	c.underWay++
	return true
}

func (c *Carrier) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.underWay--
}

// carryOut makes one call, unless its owner was replaced or this host was suspended meanwhile.
func (c *Carrier) carryOut(ctx context.Context, received time.Duration, fence int64, call Call) Answer {
	if known := c.fence(); known > fence {
		return Answer{Number: call.Number, Order: cell.Fenced, Why: "the carrier knows of a later owner"}
	}
	if clock.Now()-received > staleBound {
		return Answer{Number: call.Number, Order: cell.Unsent, Why: "the call waited too long at the carrier"}
	}
	switch call.Verb {
	case Hold:
		return c.hold(ctx, fence, call)
	case Start:
		return Answer{Number: call.Number, Order: c.workers.Start(ctx, platform.Start{
			Address: call.Address, Worker: call.Worker, Task: call.Task, Run: call.Run, Spec: call.Spec, Until: call.Until, Fence: fence,
			Checkpoint: call.Checkpoint, Ticket: call.Ticket,
		})}
	case Stop:
		return Answer{Number: call.Number, Order: c.workers.Stop(ctx, call.Address, call.Worker, call.Task, call.Run, fence)}
	case Pace:
		return Answer{Number: call.Number, Order: c.workers.Pace(ctx, call.Address, call.Worker, call.Task, call.Run, fence, call.Percent)}
	default:
		return Answer{Number: call.Number, Order: cell.Invalid, Why: "unknown verb"}
	}
}

func (c *Carrier) hold(ctx context.Context, fence int64, call Call) Answer {
	lists, err := c.workers.Hold(ctx, call.Address, call.Worker, fence, call.Seen, call.Until, call.Wait)
	if err == nil {
		return Answer{Number: call.Number, Order: cell.Accepted, Lists: encodeLists(lists)}
	}
	a := Answer{Number: call.Number, Order: cell.NoAnswer, Why: err.Error()}
	switch {
	case errors.Is(err, cell.ErrFenced):
		a.Order = cell.Fenced
	case errors.Is(err, cell.ErrOtherLife):
		a.Order = cell.OtherLife
	}
	return a
}

// answer lets an answer wait for others, or sends it with these.
func (c *Carrier) answer(to asker, a Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[to] = append(c.waiting[to], a)
	if len(c.waiting[to]) == 1 {
		time.AfterFunc(answerPause, func() { c.flush(to) })
	}
}

func (c *Carrier) flush(to asker) {
	c.mu.Lock()
	answers := c.waiting[to]
	delete(c.waiting, to)
	c.mu.Unlock()
	c.reply(to.host, Answers{Answers: answers, Fence: to.fence})
}

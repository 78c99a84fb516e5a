package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/partition"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/task"
)

// Pace of the tries of a call.
const (
	// watchInterval is the pause between two looks at the owner that a call was
	// sent to.
	watchInterval = 100 * time.Millisecond
	// connectPause is the pause between two looks at a link that is being
	// opened.
	connectPause = 5 * time.Millisecond
	// repeatPause is the pause before a call is sent again, to which up to the
	// same is added at random.
	repeatPause = 150 * time.Millisecond
	// answerLimit is how long a call waits before it is sent again to the same
	// owner, whose answer may have been lost. It doubles with every try.
	answerLimit = 5 * time.Second
	// moveLimit is how long work may be on its way between two owners, both of
	// them up, before its caller is told to come back.
	moveLimit = 2 * time.Second
	// repeatsPerSecond is the most repeats over all calls of this host. The
	// others wait until there is room.
	repeatsPerSecond = 2000
)

// newRepeatBudget returns the budget that all calls of a host share.
func newRepeatBudget() *rate.Limiter { return rate.NewLimiter(repeatsPerSecond, repeatsPerSecond) }

// outcome tells how one try of a call ended.
type outcome int

const (
	// answered is a try with the final word.
	answered outcome = iota
	// undelivered is a try that had no effect.
	undelivered
	// moved is a try that had no effect since its owner is handing the work over.
	moved
	// doubtful is a try that may have had an effect, and whose owner can't
	// answer any more.
	doubtful
	// late is a try whose owner may still answer, unless the answer was lost.
	late
	// expired is a try at whose end the caller waited no more.
	expired
	// abandoned is a try that was not made, since its caller had hung up.
	abandoned
)

// delivery is a call with what its tries have found so far.
type delivery struct {
	calls *calls
	verb  peer.CallVerb
	key   task.Key
	work  task.Work
	wait  bool
	// moving is when a try first found the work on its way to another owner.
	moving time.Time
	// doubt tells that a try may have had an effect.
	doubt bool
	// patience is how long the next try waits for its answer.
	patience time.Duration
}

// Call carries a call to the owner of its partition and waits for the answer
// until the context ends. A call that certainly reached nobody is answered at
// once; one that may have reached an owner which then failed is asked again by
// its key, through the next owner.
func (c *calls) Call(ctx context.Context, verb peer.CallVerb, key task.Key, work task.Work, wait bool) (task.Answer, error) {
	t := &delivery{calls: c, verb: verb, key: key, work: work, wait: wait, patience: answerLimit}
	for {
		answer, how := t.try(ctx)
		switch {
		case how == answered:
			return answer, nil
		case how == abandoned:
			return task.Answer{}, errors.Trace(errHungUp)
		case how == expired || ctx.Err() != nil:
			return task.Answer{}, context.Cause(ctx)
		case t.safe() && how != late:
			t.doubt = t.doubt || how == doubtful
			return t.runHere(ctx)
		case (how == undelivered || how == moved && t.moveEnds()) && !t.doubt:
			return t.notDelivered(), nil
		}
		t.doubt = t.doubt || how != moved
		if err := t.pause(ctx); err != nil {
			return task.Answer{}, err
		}
	}
}

// moveEnds reports whether work has been on its way between two owners for too
// long. If not, the host looks at the owners at once.
func (t *delivery) moveEnds() bool {
	if t.moving.IsZero() {
		t.moving = time.Now()
	}
	t.calls.host.owning.tell()
	return time.Since(t.moving) > moveLimit
}

// safe reports whether the work may run twice without a record of it.
func (t *delivery) safe() bool { return t.verb == peer.Submit && !t.work.NeedsDurableRecord() }

func (t *delivery) notDelivered() task.Answer {
	return task.UndeliveredAnswer(t.key, t.verb == peer.Submit && t.work.FirstTry && !t.doubt, codeOwnerNotReachable,
		"The owner of the work cannot be reached now.", decision.DefaultRetryAfter)
}

// pause waits before the next try, for as long as the budget says.
func (t *delivery) pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(repeatPause + rand.N(repeatPause)):
	}
	return t.calls.repeats.Wait(ctx)
}

// try sends the call to the present owner and waits for its answer.
func (t *delivery) try(ctx context.Context) (task.Answer, outcome) {
	number, own, ok := t.calls.register(t.key)
	if !ok {
		return task.UndeliveredAnswer(t.key, t.work.FirstTry && !t.doubt, codeTooManyCalls,
			"Too many calls are under way.", decision.DefaultRetryAfter), answered
	}
	defer t.calls.close(number)
	name := t.calls.host.partitionOf(t.key)
	claim := t.calls.host.owners.Claim(partition.PartitionPrefix + name)
	if !t.connected(ctx, claim.Owner) {
		return task.Answer{}, expired
	}
	if t.stale(ctx) {
		return task.Answer{}, abandoned
	}
	opened := t.calls.host.hub.AcceptedCount(claim.Owner)
	err := t.calls.send(claim, t.callTo(ctx, name, number))
	switch {
	case errors.Is(err, errors.NotYetAvailable) && t.calls.host.lease.ValidFor(0):
		return task.Answer{}, moved
	case err != nil:
		return task.Answer{}, undelivered
	}
	return t.await(ctx, own, name, claim, opened)
}

// stale reports whether the try must not be made: its caller has hung up, and may
// since have been told of a repeat that the work did not run. This host may have been
// paused meanwhile. The owner that the try goes to was read before: it has refused the
// repeat itself, and remembers that, or took over after the refusal, before which the
// caller had hung up.
func (t *delivery) stale(ctx context.Context) bool {
	return t.verb == peer.Submit && t.work.NeedsDurableRecord() && hungUp(ctx)
}

// connected waits while the first connection to a member is being opened, and
// reports whether the caller still waits.
func (t *delivery) connected(ctx context.Context, member string) bool {
	for t.calls.host.hub.Connecting(member) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(connectPause):
		}
	}
	return true
}

// callTo makes the message of one try.
func (t *delivery) callTo(ctx context.Context, name string, number uint64) peer.Call {
	call := peer.Call{
		Number: number, Instance: t.calls.host.lease.Member().Instance,
		Verb: t.verb, Wait: t.wait, Partition: name, Key: t.key, Work: t.work, Retried: t.doubt,
	}
	if until, ok := ctx.Deadline(); ok {
		call.TimeLeft = max(time.Until(until), time.Millisecond)
	}
	return call
}

// await waits for the answer of an owner for as long as it may still come. If the
// owner has opened another connection than the given one, an answer over the one
// before may be lost.
func (t *delivery) await(ctx context.Context, own *openCall, name string, claim partition.Claim, opened uint64) (task.Answer, outcome) {
	watch := time.NewTicker(watchInterval)
	defer watch.Stop()
	limit := time.NewTimer(t.patience)
	defer limit.Stop()
	t.patience *= 2
	for {
		select {
		case a := <-own.answers:
			return t.judge(a)
		case <-ctx.Done():
			return task.Answer{}, expired
		case <-limit.C:
			if claim.Owner != t.calls.host.name {
				return task.Answer{}, late
			}
		case <-watch.C:
			if t.ownerLost(name, claim) {
				return task.Answer{}, doubtful
			}
			if t.calls.host.hub.AcceptedCount(claim.Owner) != opened {
				return task.Answer{}, late
			}
		}
	}
}

// ownerLost reports whether an owner that a call was sent to can't answer.
func (t *delivery) ownerLost(name string, claim partition.Claim) bool {
	h := t.calls.host
	if now := h.owners.Claim(partition.PartitionPrefix + name); now != claim {
		return true
	}
	return claim.Owner != h.name && !h.hub.Reachable(claim.Owner)
}

// judge tells whether an answer is the last word. An owner that gave the work up
// answers that the work has moved, and when to ask again.
func (t *delivery) judge(a peer.Answer) (task.Answer, outcome) {
	switch {
	case a.NotOwner:
		return task.Answer{}, moved
	case a.Answer.State == task.Unknown && a.Answer.Code == decision.CodeOutcomeUnknown && a.Answer.RetryAfter > 0:
		return task.Answer{}, doubtful
	default:
		return a.Answer, answered
	}
}

// runHere runs work that is safe to repeat on this host's own account. After a
// doubtful try it is no first try of the caller's work any more.
func (t *delivery) runHere(ctx context.Context) (task.Answer, error) {
	c := t.calls
	work := t.work
	work.ID = localKey(t.key, c.host.name, c.next()).ID
	work.FirstTry = work.FirstTry && !t.doubt
	number, own, ok := c.register(work.Key())
	if !ok {
		return t.notDelivered(), nil
	}
	defer c.close(number)
	if err := c.host.decide.tryPut(decision.Submitted{Caller: number, Wait: t.wait, Work: work}); err != nil {
		return t.notDelivered(), nil
	}
	select {
	case a := <-own.answers:
		a.Answer.ID = t.key.ID
		return a.Answer, nil
	case <-ctx.Done():
		return task.Answer{}, ctx.Err()
	}
}

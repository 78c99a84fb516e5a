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
	// ownerCheckInterval is the pause between two looks at the owner that a call was
	// sent to.
	ownerCheckInterval = 100 * time.Millisecond
	// connectCheckInterval is the pause between two looks at a link that is being
	// opened.
	connectCheckInterval = 5 * time.Millisecond
	// retryPause is the pause before a call is sent again, to which up to the
	// same is added at random.
	retryPause = 150 * time.Millisecond
	// answerTimeout is how long a call waits before it is sent again to the same
	// owner, whose answer may have been lost. It doubles with every try.
	answerTimeout = 5 * time.Second
	// moveTimeout is how long work may be on its way between two owners, both of
	// them up, before its caller is told to come back.
	moveTimeout = 2 * time.Second
	// maxRetriesPerSecond is the most repeats over all calls of this host. The
	// others wait until there is room.
	maxRetriesPerSecond = 2000
)

// newRetryBudget returns the budget that all calls of a host share.
func newRetryBudget() *rate.Limiter { return rate.NewLimiter(maxRetriesPerSecond, maxRetriesPerSecond) }

// outcome tells how one try of a call ended.
type outcome int

const (
	// answered is a try with the final word.
	answered outcome = iota
	// undelivered is a try that had no effect.
	undelivered
	// moved is a try that had no effect since its owner is handing the work over.
	moved
	// inDoubt is a try that may have had an effect, and whose owner can't
	// answer any more.
	inDoubt
	// timedOut is a try whose owner may still answer, unless the answer was lost.
	timedOut
	// expired is a try at whose end the caller waited no more.
	expired
	// callerHungUp is a try that was not made, since its caller had hung up.
	callerHungUp
)

// delivery is a call with what its tries have found so far.
type delivery struct {
	calls *calls
	verb  peer.CallVerb
	key   task.Key
	work  task.Work
	wait  bool
	// movingSince is when a try first found the work on its way to another owner.
	movingSince time.Time
	// inDoubt tells that a try may have had an effect.
	inDoubt bool
	// waitTimeout is how long the next try waits for its answer.
	waitTimeout time.Duration
}

// Call carries a call to the owner of its partition and waits for the answer
// until the context ends. A call that certainly reached nobody is answered at
// once; one that may have reached an owner which then failed is asked again by
// its key, through the next owner.
func (c *calls) Call(ctx context.Context, verb peer.CallVerb, key task.Key, work task.Work, wait bool) (task.Answer, error) {
	t := &delivery{calls: c, verb: verb, key: key, work: work, wait: wait, waitTimeout: answerTimeout}
	for {
		answer, how := t.try(ctx)
		switch {
		case how == answered:
			return answer, nil
		case how == callerHungUp:
			return task.Answer{}, errors.Trace(errHungUp)
		case how == expired || ctx.Err() != nil:
			return task.Answer{}, context.Cause(ctx)
		case t.safeToRepeat() && how != timedOut:
			t.inDoubt = t.inDoubt || how == inDoubt
			return t.runLocally(ctx)
		case (how == undelivered || how == moved && t.moveTimedOut()) && !t.inDoubt:
			return t.undeliveredAnswer(), nil
		}
		t.inDoubt = t.inDoubt || how != moved
		if err := t.waitToRetry(ctx); err != nil {
			return task.Answer{}, err
		}
	}
}

// moveTimedOut reports whether work has been on its way between two owners for too
// long. If not, the host looks at the owners at once.
func (t *delivery) moveTimedOut() bool {
	if t.movingSince.IsZero() {
		t.movingSince = time.Now()
	}
	t.calls.host.ownership.triggerScan()
	return time.Since(t.movingSince) > moveTimeout
}

// safeToRepeat reports whether the work may run twice without a record of it.
func (t *delivery) safeToRepeat() bool { return t.verb == peer.Submit && !t.work.NeedsDurableRecord() }

func (t *delivery) undeliveredAnswer() task.Answer {
	return task.UndeliveredAnswer(t.key, t.verb == peer.Submit && t.work.FirstTry && !t.inDoubt, codeOwnerNotReachable,
		"The owner of the work cannot be reached now.", decision.DefaultRetryAfter)
}

// waitToRetry waits before the next try, for as long as the budget says.
func (t *delivery) waitToRetry(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(retryPause + rand.N(retryPause)):
	}
	return t.calls.retryBudget.Wait(ctx)
}

// try sends the call to the present owner and waits for its answer.
func (t *delivery) try(ctx context.Context) (task.Answer, outcome) {
	number, own, ok := t.calls.registerLocal(t.key)
	if !ok {
		return task.UndeliveredAnswer(t.key, t.work.FirstTry && !t.inDoubt, codeTooManyCalls,
			"Too many calls are under way.", decision.DefaultRetryAfter), answered
	}
	defer t.calls.closeLocal(number)
	name := t.calls.host.partitionOf(t.key)
	claim := t.calls.host.owners.Claim(partition.PartitionPrefix + name)
	if !t.awaitConnection(ctx, claim.Owner) {
		return task.Answer{}, expired
	}
	if t.callerHungUp(ctx) {
		return task.Answer{}, callerHungUp
	}
	opened := t.calls.host.hub.Opened(claim.Owner)
	err := t.calls.send(claim, t.newCall(ctx, name, number))
	switch {
	case errors.Is(err, errors.NotYetAvailable) && t.calls.host.lease.Valid(0):
		return task.Answer{}, moved
	case err != nil:
		return task.Answer{}, undelivered
	}
	return t.awaitAnswer(ctx, own, name, claim, opened)
}

// callerHungUp reports whether the try must not be made: its caller has hung up, and may
// since have been told of a repeat that the work did not run. This host may have been
// paused meanwhile. The owner that the try goes to was read before: it has refused the
// repeat itself, and remembers that, or took over after the refusal, before which the
// caller had hung up.
func (t *delivery) callerHungUp(ctx context.Context) bool {
	return t.verb == peer.Submit && t.work.NeedsDurableRecord() && hungUp(ctx)
}

// awaitConnection waits while the first connection to a member is being opened, and
// reports whether the caller still waits.
func (t *delivery) awaitConnection(ctx context.Context, member string) bool {
	for t.calls.host.hub.Connecting(member) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(connectCheckInterval):
		}
	}
	return true
}

// newCall makes the message of one try.
func (t *delivery) newCall(ctx context.Context, name string, number uint64) peer.Call {
	call := peer.Call{
		Number: number, Instance: t.calls.host.lease.Member().Instance,
		Verb: t.verb, Wait: t.wait, Partition: name, Key: t.key, Work: t.work, Repeated: t.inDoubt,
	}
	if until, ok := ctx.Deadline(); ok {
		call.Left = max(time.Until(until), time.Millisecond)
	}
	return call
}

// awaitAnswer waits for the answer of an owner for as long as it may still come. If the
// owner has opened another connection than the given one, an answer over the one
// before may be lost.
func (t *delivery) awaitAnswer(ctx context.Context, own *openCall, name string, claim partition.Claim, opened uint64) (task.Answer, outcome) {
	watch := time.NewTicker(ownerCheckInterval)
	defer watch.Stop()
	limit := time.NewTimer(t.waitTimeout)
	defer limit.Stop()
	t.waitTimeout *= 2
	for {
		select {
		case a := <-own.answers:
			return t.classify(a)
		case <-ctx.Done():
			return task.Answer{}, expired
		case <-limit.C:
			if claim.Owner != t.calls.host.name {
				return task.Answer{}, timedOut
			}
		case <-watch.C:
			if t.ownerLost(name, claim) {
				return task.Answer{}, inDoubt
			}
			if t.calls.host.hub.Opened(claim.Owner) != opened {
				return task.Answer{}, timedOut
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

// classify tells whether an answer is the last word. An owner that gave the work up
// answers that the work has moved, and when to ask again.
func (t *delivery) classify(a peer.Answer) (task.Answer, outcome) {
	switch {
	case a.NotOwner:
		return task.Answer{}, moved
	case a.Answer.State == task.Unknown && a.Answer.Code == decision.CodeOutcomeUnknown && a.Answer.RetryAfter > 0:
		return task.Answer{}, inDoubt
	default:
		return a.Answer, answered
	}
}

// runLocally runs work that is safe to repeat on this host's own account. After a
// doubtful try it is no first try of the caller's work any more.
func (t *delivery) runLocally(ctx context.Context) (task.Answer, error) {
	c := t.calls
	work := t.work
	work.ID = localKey(t.key, c.host.name, c.nextNumber()).ID
	work.FirstTry = work.FirstTry && !t.inDoubt
	number, own, ok := c.registerLocal(work.Key())
	if !ok {
		return t.undeliveredAnswer(), nil
	}
	defer c.closeLocal(number)
	if err := c.host.decide.tryPut(decision.Submitted{Caller: number, Wait: t.wait, Work: work}); err != nil {
		return t.undeliveredAnswer(), nil
	}
	select {
	case a := <-own.answers:
		a.Answer.ID = t.key.ID
		return a.Answer, nil
	case <-ctx.Done():
		return task.Answer{}, ctx.Err()
	}
}

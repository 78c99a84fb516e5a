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

// Timing of the tries of a call.
const (
	// ownerCheckInterval is the interval at which the owner that a call was sent to is
	// checked.
	ownerCheckInterval = 100 * time.Millisecond
	// connectCheckInterval is the interval at which a link that is being opened is
	// checked.
	connectCheckInterval = 5 * time.Millisecond
	// retryPause is the least pause before a retry. Up to the same time is added at
	// random.
	retryPause = 150 * time.Millisecond
	// answerTimeout is how long the first try waits before the call is sent again to
	// the same owner, whose answer may have been lost. It doubles with every try.
	answerTimeout = 5 * time.Second
	// moveTimeout is how long the work may be in hand-over between two live owners
	// before its caller is told to retry later.
	moveTimeout = 2 * time.Second
	// maxRetriesPerSecond bounds the retries over all calls of this host. Retries
	// beyond it wait.
	maxRetriesPerSecond = 2000
)

// newRetryBudget returns the retry budget that all calls of a host share.
func newRetryBudget() *rate.Limiter { return rate.NewLimiter(maxRetriesPerSecond, maxRetriesPerSecond) }

// outcome is how one try of a call ended.
type outcome int

const (
	// answered is a try with the final answer.
	answered outcome = iota
	// undelivered is a try that had no effect.
	undelivered
	// moved is a try that had no effect because the work is being handed over to
	// another owner.
	moved
	// inDoubt is a try that may have had an effect, and whose owner can no longer
	// answer.
	inDoubt
	// timedOut is a try whose owner may still answer, unless the answer was lost.
	timedOut
	// expired is a try that ended because the caller stopped waiting.
	expired
	// callerHungUp is a try that was not made because the caller had hung up.
	callerHungUp
)

// delivery is the state of a call over its tries.
type delivery struct {
	calls *calls
	verb  peer.CallVerb
	key   task.Key
	work  task.Work
	wait  bool
	// movingSince is when a try first found the work in hand-over to another owner.
	movingSince time.Time
	// inDoubt reports whether an earlier try may have had an effect.
	inDoubt bool
	// waitTimeout is how long the next try waits for its answer.
	waitTimeout time.Duration
}

// Call sends a call to the owner of its partition and waits for the answer until the
// context ends. A call that certainly reached no owner is answered at once. A call that
// may have reached an owner that then failed is sent again with the same key, to the
// next owner.
func (c *calls) Call(ctx context.Context, verb peer.CallVerb, key task.Key, work task.Work, wait bool) (task.Answer, error) {
	t := &delivery{calls: c, verb: verb, key: key, work: work, wait: wait, waitTimeout: answerTimeout}
	for {
		answer, result := t.try(ctx)
		switch {
		case result == answered:
			return answer, nil
		case result == callerHungUp:
			return task.Answer{}, errors.Trace(errHungUp)
		case result == expired || ctx.Err() != nil:
			return task.Answer{}, context.Cause(ctx)
		case t.safeToRepeat() && result != timedOut:
			t.inDoubt = t.inDoubt || result == inDoubt
			return t.runLocally(ctx)
		case (result == undelivered || result == moved && t.moveTimedOut()) && !t.inDoubt:
			return t.undeliveredAnswer(), nil
		}
		t.inDoubt = t.inDoubt || result != moved
		if err := t.waitToRetry(ctx); err != nil {
			return task.Answer{}, err
		}
	}
}

// moveTimedOut reports whether the hand-over of the work has taken too long. It also
// triggers a scan of the owners.
func (t *delivery) moveTimedOut() bool {
	if t.movingSince.IsZero() {
		t.movingSince = time.Now()
	}
	t.calls.host.ownership.triggerScan()
	return time.Since(t.movingSince) > moveTimeout
}

// safeToRepeat reports whether the work may run twice without a durable record.
func (t *delivery) safeToRepeat() bool { return t.verb == peer.Submit && !t.work.NeedsDurableRecord() }

func (t *delivery) undeliveredAnswer() task.Answer {
	return task.UndeliveredAnswer(t.key, t.verb == peer.Submit && t.work.FirstTry && !t.inDoubt, codeOwnerNotReachable,
		"The owner of the work cannot be reached now.", decision.DefaultRetryAfter)
}

// waitToRetry waits for the retry pause, and then for the retry budget.
func (t *delivery) waitToRetry(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(retryPause + rand.N(retryPause)):
	}
	return t.calls.retryBudget.Wait(ctx)
}

// try sends the call to the current owner and waits for its answer.
func (t *delivery) try(ctx context.Context) (task.Answer, outcome) {
	number, open, ok := t.calls.registerLocal(t.key)
	if !ok {
		return task.UndeliveredAnswer(t.key, t.work.FirstTry && !t.inDoubt, codeTooManyCalls,
			"Too many calls are under way.", decision.DefaultRetryAfter), answered
	}
	defer t.calls.close(number)
	name := t.calls.host.partitionOf(t.key)
	claim := t.calls.host.owners.Claim(partition.PartitionPrefix + name)
	if !t.awaitConnection(ctx, claim.Owner) {
		return task.Answer{}, expired
	}
	if t.callerHungUp(ctx) {
		return task.Answer{}, callerHungUp
	}
	connections := t.calls.host.hub.AcceptedCount(claim.Owner)
	err := t.calls.send(claim, t.newCall(ctx, name, number))
	switch {
	case errors.Is(err, errors.NotYetAvailable) && t.calls.host.lease.ValidFor(0):
		return task.Answer{}, moved
	case err != nil:
		return task.Answer{}, undelivered
	}
	return t.awaitAnswer(ctx, open, name, claim, connections)
}

// callerHungUp reports whether the try must not be made because the caller has hung up.
// The caller may since have repeated the work and been answered that it did not run,
// for instance while this host was paused. The owner of this try was read before this
// check: either it refused the repeat itself and remembers that, or it took over after
// the refusal. The caller hung up before the refusal, so that this check detects it.
func (t *delivery) callerHungUp(ctx context.Context) bool {
	return t.verb == peer.Submit && t.work.NeedsDurableRecord() && hungUp(ctx)
}

// awaitConnection waits while the first connection to a member is being opened. It
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

// newCall returns the message of one try.
func (t *delivery) newCall(ctx context.Context, name string, number uint64) peer.Call {
	call := peer.Call{
		Number: number, Instance: t.calls.host.lease.Member().Instance,
		Verb: t.verb, Wait: t.wait, Partition: name, Key: t.key, Work: t.work, Retried: t.inDoubt,
	}
	if deadline, ok := ctx.Deadline(); ok {
		call.TimeLeft = max(time.Until(deadline), time.Millisecond)
	}
	return call
}

// awaitAnswer waits for the owner's answer for as long as it may still arrive. The
// answer may be lost if the owner has opened another connection, so that it has opened
// more than the given number.
func (t *delivery) awaitAnswer(ctx context.Context, open *openCall, name string, claim partition.Claim, connections uint64) (task.Answer, outcome) {
	watch := time.NewTicker(ownerCheckInterval)
	defer watch.Stop()
	limit := time.NewTimer(t.waitTimeout)
	defer limit.Stop()
	t.waitTimeout *= 2
	for {
		select {
		case a := <-open.answers:
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
			if t.calls.host.hub.AcceptedCount(claim.Owner) != connections {
				return task.Answer{}, timedOut
			}
		}
	}
}

// ownerLost reports whether the owner that a call was sent to can no longer answer.
func (t *delivery) ownerLost(name string, claim partition.Claim) bool {
	h := t.calls.host
	if now := h.owners.Claim(partition.PartitionPrefix + name); now != claim {
		return true
	}
	return claim.Owner != h.name && !h.hub.Reachable(claim.Owner)
}

// classify returns the outcome of a try from its answer. An owner that has given up the
// work may answer with an unknown outcome and a time to retry, which is not final.
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

// runLocally runs work that is safe to repeat at this host, under a key of its own.
// After a try in doubt it no longer counts as the first try of the caller's work.
func (t *delivery) runLocally(ctx context.Context) (task.Answer, error) {
	c := t.calls
	work := t.work
	work.ID = localKey(t.key, c.host.name, c.nextNumber()).ID
	work.FirstTry = work.FirstTry && !t.inDoubt
	number, open, ok := c.registerLocal(work.Key())
	if !ok {
		return t.undeliveredAnswer(), nil
	}
	defer c.close(number)
	if err := c.host.decide.tryPut(decision.Submitted{Caller: number, Wait: t.wait, Work: work}); err != nil {
		return t.undeliveredAnswer(), nil
	}
	select {
	case a := <-open.answers:
		a.Answer.ID = t.key.ID
		return a.Answer, nil
	case <-ctx.Done():
		return task.Answer{}, ctx.Err()
	}
}

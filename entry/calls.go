package entry

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/partition"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/timer"
)

// Bounds on calls of other members.
const (
	// remoteCallTimeout is how long a call of another member is kept if it has no
	// deadline, or a later one.
	remoteCallTimeout = 10 * time.Minute
	// sweepInterval is the interval at which expired calls of other members are
	// dropped.
	sweepInterval = time.Second
)

// Codes of answers to calls that did not reach the core of the work's owner.
const (
	codeOwnerNotReachable = "OwnerNotReachable"
	codeTooManyCalls      = "TooManyCalls"
)

// calls routes callers' requests to the owners of partitions and returns the answers.
// Calls beyond the settings' Limits.OpenCalls and Limits.PeerCalls are refused at once.
type calls struct {
	host *Host
	// retryBudget limits the rate of retries over all calls.
	retryBudget *rate.Limiter

	mu         sync.Mutex
	lastNumber uint64
	// open holds the calls of this host's own callers by number.
	open map[uint64]*openCall
	// remote holds the calls that other members forwarded, by number.
	remote map[uint64]remoteCall
}

// openCall is one try of a call of this host's own caller.
type openCall struct {
	// key is the key of the work at the core that decides about it.
	key     task.Key
	answers chan peer.Answer
}

// remoteCall is a call forwarded by another member, to which the answer is sent.
type remoteCall struct {
	member string
	call   peer.Call
	// deadline is when the caller stops waiting.
	deadline time.Time
}

func newCalls(h *Host) *calls {
	return &calls{host: h, retryBudget: newRetryBudget(), open: map[uint64]*openCall{}, remote: map[uint64]remoteCall{}}
}

// send delivers a call to the owner of its partition. If it fails, the call certainly
// had no effect.
func (c *calls) send(claim partition.Claim, call peer.Call) error {
	if claim.Owner == "" {
		return errors.NotYetAvailablef("owner of partition %s", call.Partition)
	}
	if !c.host.roster.MayOwn(claim.Owner, claim.Instance) {
		return errors.NotFoundf("owner of partition %s", call.Partition)
	}
	if claim.Owner != c.host.name {
		return c.host.hub.Send(claim.Owner, peer.KindCall, call)
	}
	if !c.host.journals.owns(call.Partition) {
		return errors.NotYetAvailablef("partition %s", call.Partition)
	}
	return c.enqueue(call)
}

// receive handles a call forwarded by another member.
func (c *calls) receive(from string, call peer.Call) {
	answer := peer.Answer{Number: call.Number, Instance: call.Instance}
	if !c.host.journals.owns(call.Partition) {
		answer.NotOwner = true
		answer.Answer = task.Answer{Team: call.Key.Team, ID: call.Key.ID}
		c.sendAnswer(from, answer)
		return
	}
	number, ok := c.registerRemote(from, call)
	if !ok {
		answer.Answer = task.UndeliveredAnswer(call.Key, call.Work.FirstTry && !call.Retried, codeTooManyCalls,
			"Too many calls are under way.", decision.DefaultRetryAfter)
		c.sendAnswer(from, answer)
		return
	}
	call.Number = number
	if err := c.enqueue(call); err != nil {
		c.dropRemote(number)
		answer.NotOwner = true
		answer.Answer = task.Answer{Team: call.Key.Team, ID: call.Key.ID}
		c.sendAnswer(from, answer)
	}
}

// enqueue puts a call into the core's event queue, or fails at once if the queue is
// full.
func (c *calls) enqueue(call peer.Call) error {
	decide := c.host.decide
	switch call.Verb {
	case peer.Submit:
		return decide.tryPut(decision.Submitted{
			Caller: call.Number, Wait: call.Wait, Partition: call.Partition, Work: call.Work, Repeated: call.Retried,
		})
	case peer.Status:
		return decide.tryPut(decision.Queried{Caller: call.Number, Wait: call.Wait, Key: call.Key})
	case peer.Cancel:
		return decide.tryPut(decision.Cancelled{Caller: call.Number, Key: call.Key})
	default:
		return errors.NotSupportedf("verb %q", call.Verb)
	}
}

// deliverReply passes a reply of the core to the caller, at this host or at another
// member. It is dropped if the caller no longer waits.
func (c *calls) deliverReply(r decision.Reply) {
	c.mu.Lock()
	open, local := c.open[r.Caller]
	remote, known := c.remote[r.Caller]
	delete(c.remote, r.Caller)
	c.mu.Unlock()
	switch {
	case local:
		open.deliver(peer.Answer{Answer: r.Answer})
	case known:
		c.sendAnswer(remote.member, peer.Answer{Number: remote.call.Number, Instance: remote.call.Instance, Answer: r.Answer})
	}
}

// sendAnswer sends an answer to another member. If the answer is lost, the member sends
// the call again.
func (c *calls) sendAnswer(to string, a peer.Answer) {
	if err := c.host.hub.Send(to, peer.KindAnswer, a); err != nil {
		c.host.log.Debugf("Caller: answer to %s not sent: %v.", to, err)
	}
}

// receiveAnswer handles an answer from another member. Answers to an earlier instance
// of this host, or to a closed call, are dropped.
func (c *calls) receiveAnswer(_ string, a peer.Answer) {
	if a.Instance != c.host.lease.Member().Instance {
		return
	}
	c.mu.Lock()
	open, ok := c.open[a.Number]
	c.mu.Unlock()
	if ok {
		open.deliver(a)
	}
}

// deliver passes an answer to the waiting caller if it is for the caller's work.
func (o *openCall) deliver(a peer.Answer) {
	if a.Answer.Key() != o.key {
		return
	}
	select {
	case o.answers <- a:
	default:
	}
}

// registerLocal registers a try of a call, unless too many calls are open.
func (c *calls) registerLocal(key task.Key) (uint64, *openCall, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) >= c.host.settings.Limits.OpenCalls {
		return 0, nil, false
	}
	c.lastNumber++
	o := &openCall{key: key, answers: make(chan peer.Answer, 1)}
	c.open[c.lastNumber] = o
	return c.lastNumber, o, true
}

// nextNumber returns a number that this host has not used before.
func (c *calls) nextNumber() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	return c.lastNumber
}

// close removes a try of this host's own caller; a later answer is dropped.
func (c *calls) close(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, number)
}

func (c *calls) registerRemote(from string, call peer.Call) (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.remote) >= c.host.settings.Limits.PeerCalls {
		return 0, false
	}
	remaining := call.TimeLeft
	if remaining <= 0 || remaining > remoteCallTimeout {
		remaining = remoteCallTimeout
	}
	c.lastNumber++
	c.remote[c.lastNumber] = remoteCall{member: from, call: call, deadline: time.Now().Add(remaining)}
	return c.lastNumber, true
}

func (c *calls) dropRemote(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.remote, number)
}

// run drops expired calls of other members.
func (c *calls) run(ctx context.Context) error {
	timer.Every(ctx, sweepInterval, c.dropExpired)
	return nil
}

func (c *calls) dropExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for number, r := range c.remote {
		if now.After(r.deadline) {
			delete(c.remote, number)
		}
	}
}

package intake

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// resendInterval is the pause after which a call without a reply is sent again; a
	// reply takes some 50 ms between regions.
	resendInterval = 500 * time.Millisecond
	// unsentTimeout is how long a call waits for an owner that can be reached. A
	// takeover takes 0.1 s to 2.5 s.
	unsentTimeout = 1500 * time.Millisecond
	// unsentRetryAfter is when callers may come back after a call that was not sent.
	unsentRetryAfter = time.Second
)

// Sender sends a call to the owner of the cell. It reports false if it can't have
// left this host.
type Sender interface {
	Send(call Call) bool
}

// Forwarder is the front of one host. Use NewDesk to make one.
type Forwarder struct {
	sender Sender
	log    *logrus.Entry
	// lastNumber is that of the last call. It begins anywhere: the owner may still answer calls
	// of an earlier process of this host.
	lastNumber atomic.Uint64

	mu        sync.Mutex
	catalogue *workload.Catalogue
	pending   map[uint64]*pendingCall
}

// maxCopies is how many copies of a call are sent at most, so that the answers to all
// of them can be kept until they are read; a call lasts for some seconds.
const maxCopies = 16

// pendingCall is a call without a reply.
type pendingCall struct {
	// answers has room for one answer to each copy.
	answers chan Answer
	// resend asks to send the call at once again.
	resend chan struct{}
}

// NewForwarder returns a desk that sends calls by sender.
func NewForwarder(sender Sender, log *logrus.Entry) *Forwarder {
	d := &Forwarder{sender: sender, log: log, pending: map[uint64]*pendingCall{}}
	d.lastNumber.Store(rand.Uint64() >> 1)
	return d
}

// SetCatalogue puts a version of the operator's queues in force, unless a newer
// one is. It reports whether it did.
func (d *Forwarder) SetCatalogue(c workload.Catalogue) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.catalogue != nil && d.catalogue.Version >= c.Version {
		return false
	}
	d.catalogue = &c
	return true
}

// Catalogue returns the version in force.
func (d *Forwarder) Catalogue() (workload.Catalogue, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.catalogue == nil {
		return workload.Catalogue{}, false
	}
	return *d.catalogue, true
}

// Submit hands a job in.
func (d *Forwarder) Submit(ctx context.Context, job workload.Job) Reply {
	return d.forward(ctx, Call{Verb: Submit, Queue: job.Queue, ID: job.ID, Job: job})
}

// State asks for the state of a job.
func (d *Forwarder) State(ctx context.Context, queue, id string) Reply {
	return d.forward(ctx, Call{Verb: State, Queue: queue, ID: id})
}

// Cancel ends a job.
func (d *Forwarder) Cancel(ctx context.Context, queue, id string) Reply {
	return d.forward(ctx, Call{Verb: Cancel, Queue: queue, ID: id})
}

// Waiting counts the jobs of a queue that have not begun.
func (d *Forwarder) Waiting(ctx context.Context, queue string) Reply {
	return d.forward(ctx, Call{Verb: Waiting, Queue: queue})
}

// HandleAnswer takes the answer to a call.
func (d *Forwarder) HandleAnswer(a Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pending[a.Number]
	if p == nil {
		return
	}
	select {
	case p.answers <- a:
	default:
		// A copy without an answer counts as one that may have an effect.
	}
}

// ResendPending sends all calls without a reply again.
func (d *Forwarder) ResendPending() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.pending {
		select {
		case p.resend <- struct{}{}:
		default:
		}
	}
}

func (d *Forwarder) forward(ctx context.Context, c Call) Reply {
	c.Number = d.lastNumber.Add(1)
	p := &pendingCall{answers: make(chan Answer, maxCopies), resend: make(chan struct{}, 1)}
	d.mu.Lock()
	d.pending[c.Number] = p
	d.mu.Unlock()
	begun := time.Now()
	reply := d.awaitReply(ctx, c, p)
	d.mu.Lock()
	delete(d.pending, c.Number)
	d.mu.Unlock()
	if c.Verb == Submit || reply.Outcome == Unknown || reply.Outcome == Unavailable {
		d.log.WithFields(logrus.Fields{
			"job": c.ID, "verb": c.Verb, "queue": c.Queue, "outcome": reply.Outcome, "why": reply.Why, "ms": time.Since(begun).Milliseconds(),
		}).Info("intake: call answered")
	}
	return reply
}

func (d *Forwarder) awaitReply(ctx context.Context, c Call, p *pendingCall) Reply {
	unsent := time.NewTimer(unsentTimeout)
	defer unsent.Stop()
	again := time.NewTicker(resendInterval)
	defer again.Stop()
	var all copies
	send := func() {
		if all.maySend() && d.sender.Send(c) {
			all.sent++
		}
	}
	send()
	for {
		select {
		case a := <-p.answers:
			if reply, final := all.recordAnswer(a); final {
				return reply
			}
		case <-p.resend:
			send()
		case <-again.C:
			send()
		case <-unsent.C:
			if all.sent == 0 {
				return notSentReply()
			}
		case <-ctx.Done():
			if all.sent == 0 {
				return notSentReply()
			}
			return Reply{Why: "no reply in time"}
		}
	}
}

// notSentReply is the reply to a call that has not left this host.
func notSentReply() Reply {
	return Reply{Outcome: Unavailable, RetryAfter: unsentRetryAfter, Why: "no owner could be reached"}
}

// copies counts what became of the copies of one call. Each is answered once at most,
// and may have an effect until then.
type copies struct {
	sent, refused, notOwned int
	// lastRefusal is the last one.
	lastRefusal Reply
}

// maySend reports whether another copy may be sent: none after a refusal, which would not
// be certain then.
func (c *copies) maySend() bool { return c.refused == 0 && c.sent < maxCopies }

// recordAnswer takes the answer to one copy, and reports whether it is final for the call.
func (c *copies) recordAnswer(a Answer) (Reply, bool) {
	switch {
	case a.NotOwner:
		c.notOwned++
	case a.Reply.isRefusal():
		c.refused++
		c.lastRefusal = a.Reply
	default:
		return a.Reply, true
	}
	return c.lastRefusal, c.refused > 0 && c.refused+c.notOwned == c.sent
}

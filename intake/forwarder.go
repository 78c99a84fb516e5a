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
	// resendInterval is the interval at which a call without a reply is sent again; a reply
	// takes some 50 ms between regions.
	resendInterval = 500 * time.Millisecond
	// unsentTimeout bounds the time that an unsent call waits for a reachable owner. A
	// takeover takes 0.1 s to 2.5 s.
	unsentTimeout = 1500 * time.Millisecond
	// unsentRetryAfter is how long callers should wait before they retry a call that was
	// not sent.
	unsentRetryAfter = time.Second
)

// Sender sends a call to the owner of the cell. It reports false if the call cannot have
// left this host.
type Sender interface {
	Send(call Call) bool
}

// Forwarder forwards the calls of one host to the owner of the cell. Create one with
// NewForwarder.
type Forwarder struct {
	sender Sender
	log    *logrus.Entry
	// lastNumber is the number of the last call. It starts at a random value: the owner may
	// still answer calls of an earlier process of this host.
	lastNumber atomic.Uint64

	mu        sync.Mutex
	catalogue *workload.Catalogue
	pending   map[uint64]*pendingCall
}

// maxCopies bounds the copies sent of a call, so that the channel of its answers has
// capacity for all of them; a call ends after some seconds.
const maxCopies = 16

// pendingCall is a call without a reply.
type pendingCall struct {
	// answers has capacity for one answer to each copy.
	answers chan Answer
	// resend requests that the call is sent again at once.
	resend chan struct{}
}

// NewForwarder returns a forwarder that sends calls with sender.
func NewForwarder(sender Sender, log *logrus.Entry) *Forwarder {
	f := &Forwarder{sender: sender, log: log, pending: map[uint64]*pendingCall{}}
	f.lastNumber.Store(rand.Uint64() >> 1)
	return f
}

// SetCatalogue puts a version of the operator's queues in force, unless this or a newer one
// already is. It reports whether it did.
func (f *Forwarder) SetCatalogue(c workload.Catalogue) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.catalogue != nil && f.catalogue.Version >= c.Version {
		return false
	}
	f.catalogue = &c
	return true
}

// Catalogue returns the version in force, or false if there is none yet.
func (f *Forwarder) Catalogue() (workload.Catalogue, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.catalogue == nil {
		return workload.Catalogue{}, false
	}
	return *f.catalogue, true
}

// CatalogueVersion returns the version in force, or 0 if there is none yet.
func (f *Forwarder) CatalogueVersion() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.catalogue == nil {
		return 0
	}
	return f.catalogue.Version
}

// Submit submits a job.
func (f *Forwarder) Submit(ctx context.Context, by Credential, job workload.Job) Reply {
	return f.forward(ctx, Call{Verb: Submit, Queue: job.Queue, ID: job.ID, Job: job, Credential: by})
}

// State requests the state of a job.
func (f *Forwarder) State(ctx context.Context, by Credential, queue, id string) Reply {
	return f.forward(ctx, Call{Verb: State, Queue: queue, ID: id, Credential: by})
}

// Cancel cancels a job.
func (f *Forwarder) Cancel(ctx context.Context, by Credential, queue, id string) Reply {
	return f.forward(ctx, Call{Verb: Cancel, Queue: queue, ID: id, Credential: by})
}

// Waiting requests the number of jobs of a queue that have not started.
func (f *Forwarder) Waiting(ctx context.Context, by Credential, queue string) Reply {
	return f.forward(ctx, Call{Verb: Waiting, Queue: queue, Credential: by})
}

// HandleAnswer handles the answer to one copy of a call.
func (f *Forwarder) HandleAnswer(a Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pending[a.Number]
	if p == nil {
		return
	}
	select {
	case p.answers <- a:
	default:
		// The channel is full. A copy without an answer counts as one that may have had an
		// effect.
	}
}

// ResendPending sends all calls without a reply again at once; it is called when the owner
// changes.
func (f *Forwarder) ResendPending() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pending {
		select {
		case p.resend <- struct{}{}:
		default:
		}
	}
}

func (f *Forwarder) forward(ctx context.Context, c Call) Reply {
	c.Number = f.lastNumber.Add(1)
	p := &pendingCall{answers: make(chan Answer, maxCopies), resend: make(chan struct{}, 1)}
	f.mu.Lock()
	f.pending[c.Number] = p
	f.mu.Unlock()
	begun := time.Now()
	var sentCopies copies
	reply := f.awaitReply(ctx, c, p, &sentCopies)
	f.mu.Lock()
	delete(f.pending, c.Number)
	f.mu.Unlock()
	if c.Verb == Submit || c.Verb == Cancel || reply.Outcome == Unknown || reply.Outcome == Unavailable || reply.Outcome == Unauthorised {
		f.log.WithFields(logrus.Fields{
			"job": c.ID, "verb": c.Verb, "queue": c.Queue, "outcome": reply.Outcome, "why": reply.Why, "fence": reply.Fence, "copies": sentCopies.sent,
			"ms": time.Since(begun).Milliseconds(),
		}).Info("intake: call answered")
	}
	return reply
}

func (f *Forwarder) awaitReply(ctx context.Context, c Call, p *pendingCall, sentCopies *copies) Reply {
	unsentTimer := time.NewTimer(unsentTimeout)
	defer unsentTimer.Stop()
	resendTicker := time.NewTicker(resendInterval)
	defer resendTicker.Stop()
	send := func() {
		if sentCopies.maySend() && f.sender.Send(c) {
			sentCopies.sent++
		}
	}
	send()
	for {
		select {
		case a := <-p.answers:
			if reply, final := sentCopies.recordAnswer(a); final {
				return reply
			}
		case <-p.resend:
			send()
		case <-resendTicker.C:
			send()
		case <-unsentTimer.C:
			if sentCopies.sent == 0 {
				return notSentReply()
			}
		case <-ctx.Done():
			if sentCopies.sent == 0 {
				return notSentReply()
			}
			return Reply{Why: "no reply before the caller's timeout"}
		}
	}
}

// notSentReply returns the reply to a call that has not left this host.
func notSentReply() Reply {
	return Reply{Outcome: Unavailable, RetryAfter: unsentRetryAfter, Why: "no reachable owner of the cell"}
}

// copies counts the copies of one call by their answers. Each is answered at most once, and
// may have an effect until then.
type copies struct {
	sent, refused, notOwned int
	// lastRefusal is the last reply that was a refusal.
	lastRefusal Reply
}

// maySend reports whether another copy may be sent: none after a refusal, which would then
// no longer hold for all copies.
func (c *copies) maySend() bool { return c.refused == 0 && c.sent < maxCopies }

// recordAnswer records the answer to one copy, and reports whether it settles the call.
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

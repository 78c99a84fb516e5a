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
	// resend is the pause after which a call without a reply is sent again; a
	// reply takes some 50 ms between regions.
	resend = 500 * time.Millisecond
	// unsentBound is how long a call waits for an owner that can be reached. A
	// takeover takes 0.1 s to 2.5 s.
	unsentBound = 1500 * time.Millisecond
	// retryAfter is when callers may come back after a call that was not sent.
	retryAfter = time.Second
)

// Sender sends a call to the owner of the cell. It reports false if it can't have
// left this host.
type Sender interface {
	Send(call Call) bool
}

// Desk is the front of one host. Use NewDesk to make one.
type Desk struct {
	sender Sender
	log    *logrus.Entry
	// number is that of the last call. It begins anywhere: the owner may still answer calls
	// of an earlier process of this host.
	number atomic.Uint64

	mu        sync.Mutex
	catalogue *workload.Catalogue
	pending   map[uint64]*pending
}

// maxCopies is how many copies of a call are sent at most, so that the answers to all
// of them can be kept until they are read; a call lasts for some seconds.
const maxCopies = 16

// pending is a call without a reply.
type pending struct {
	// answers has room for one answer to each copy.
	answers chan Answer
	// retry asks to send the call at once again.
	retry chan struct{}
}

// NewDesk returns a desk that sends calls by sender.
func NewDesk(sender Sender, log *logrus.Entry) *Desk {
	d := &Desk{sender: sender, log: log, pending: map[uint64]*pending{}}
	d.number.Store(rand.Uint64() >> 1)
	return d
}

// SetCatalogue puts a version of the operator's queues in force, unless a newer
// one is. It reports whether it did.
func (d *Desk) SetCatalogue(c workload.Catalogue) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.catalogue != nil && d.catalogue.Version >= c.Version {
		return false
	}
	d.catalogue = &c
	return true
}

// Catalogue returns the version in force.
func (d *Desk) Catalogue() (workload.Catalogue, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.catalogue == nil {
		return workload.Catalogue{}, false
	}
	return *d.catalogue, true
}

// Submit hands a job in.
func (d *Desk) Submit(ctx context.Context, job workload.Job) Reply {
	return d.call(ctx, Call{Verb: Submit, Queue: job.Queue, ID: job.ID, Job: job})
}

// State asks for the state of a job.
func (d *Desk) State(ctx context.Context, queue, id string) Reply {
	return d.call(ctx, Call{Verb: State, Queue: queue, ID: id})
}

// Cancel ends a job.
func (d *Desk) Cancel(ctx context.Context, queue, id string) Reply {
	return d.call(ctx, Call{Verb: Cancel, Queue: queue, ID: id})
}

// Waiting counts the jobs of a queue that have not begun.
func (d *Desk) Waiting(ctx context.Context, queue string) Reply {
	return d.call(ctx, Call{Verb: Waiting, Queue: queue})
}

// Answered takes the answer to a call.
func (d *Desk) Answered(a Answer) {
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

// OwnerChanged sends all calls without a reply again.
func (d *Desk) OwnerChanged() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.pending {
		select {
		case p.retry <- struct{}{}:
		default:
		}
	}
}

func (d *Desk) call(ctx context.Context, c Call) Reply {
	c.Number = d.number.Add(1)
	p := &pending{answers: make(chan Answer, maxCopies), retry: make(chan struct{}, 1)}
	d.mu.Lock()
	d.pending[c.Number] = p
	d.mu.Unlock()
	begun := time.Now()
	reply := d.await(ctx, c, p)
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

func (d *Desk) await(ctx context.Context, c Call, p *pending) Reply {
	unsent := time.NewTimer(unsentBound)
	defer unsent.Stop()
	again := time.NewTicker(resend)
	defer again.Stop()
	var all copies
	send := func() {
		if all.more() && d.sender.Send(c) {
			all.sent++
		}
	}
	send()
	for {
		select {
		case a := <-p.answers:
			if reply, final := all.answered(a); final {
				return reply
			}
		case <-p.retry:
			send()
		case <-again.C:
			send()
		case <-unsent.C:
			if all.sent == 0 {
				return notSent()
			}
		case <-ctx.Done():
			if all.sent == 0 {
				return notSent()
			}
			return Reply{Why: "no reply in time"}
		}
	}
}

// notSent is the reply to a call that has not left this host.
func notSent() Reply {
	return Reply{Outcome: Unavailable, RetryAfter: retryAfter, Why: "no owner could be reached"}
}

// copies counts what became of the copies of one call. Each is answered once at most,
// and may have an effect until then.
type copies struct {
	sent, refused, notTaken int
	// refusal is the last one.
	refusal Reply
}

// more reports whether another copy may be sent: none after a refusal, which would not
// be certain then.
func (c *copies) more() bool { return c.refused == 0 && c.sent < maxCopies }

// answered takes the answer to one copy, and reports whether it is final for the call.
func (c *copies) answered(a Answer) (Reply, bool) {
	switch {
	case a.NotOwner:
		c.notTaken++
	case a.Reply.refuses():
		c.refused++
		c.refusal = a.Reply
	default:
		return a.Reply, true
	}
	return c.refusal, c.refused > 0 && c.refused+c.notTaken == c.sent
}

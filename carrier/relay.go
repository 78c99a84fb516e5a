package carrier

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// orderBatchDelay is how long an order waits for further orders to the same carrier.
	// The orders released by one transaction arrive at once.
	orderBatchDelay = 2 * time.Millisecond
	// holdBatchDelay is the same for a hold, which the worker answers only at the next
	// end of a run.
	holdBatchDelay = 20 * time.Millisecond
	// maxBatchCalls bounds the calls of a batch.
	maxBatchCalls = 256
	// selectInterval is the interval between two selections of carriers.
	selectInterval = 250 * time.Millisecond
	// holdSlack is the time that a hold may take in addition to its wait: the call from
	// the carrier to the worker, and the batching in both directions.
	holdSlack = 800 * time.Millisecond
	// orderTimeout bounds the time of an order. The deadline of its caller may be
	// earlier.
	orderTimeout = time.Second
	// silenceTimeout is how long a carrier may have answered nothing at all before a call
	// that times out makes it suspect.
	silenceTimeout = 500 * time.Millisecond
)

// errNotForwarded means that no carrier has received the call.
const errNotForwarded = errors.ConstError("call was not forwarded: no carrier received it")

// Workers calls workers.
type Workers interface {
	Start(ctx context.Context, s platform.StartOrder) cell.Answer
	Stop(ctx context.Context, i platform.Instance, id workload.TaskID, run int, fence int64) cell.Answer
	Pace(ctx context.Context, i platform.Instance, id workload.TaskID, run int, fence int64, percent int) cell.Answer
	Hold(ctx context.Context, i platform.Instance, fence, acked, until int64, wait time.Duration) (platform.HoldResponse, error)
}

// Peers gives access to the other entry hosts.
type Peers interface {
	// Peers returns the hosts that can be reached, without this one.
	Peers() []Peer
	// SendCalls sends a batch to a host. It reports false if the batch was certainly not
	// sent.
	SendCalls(host string, c Calls) bool
}

// Relay calls workers through carriers, and directly if there is no carrier. Use NewRelay
// to create one.
type Relay struct {
	// Calls counts the calls that were sent to carriers, Batches the messages used for
	// them.
	Calls, Batches atomic.Int64

	direct Workers
	peers  Peers
	log    *logrus.Entry

	mu            sync.Mutex
	routes        routes
	lastSelection time.Duration
	lastNumber    uint64
	// links holds the calls that are queued for or in flight to each carrier.
	links map[string]*link
}

// link holds the calls that are queued for or in flight to one carrier.
type link struct {
	// batch holds the calls that are queued under one fencing token.
	batch Calls
	flush *time.Timer
	// flushAt is when the batch is sent.
	flushAt time.Duration
	// pending holds the calls without an answer.
	pending map[uint64]pendingCall
	// lastAnswer is when the carrier last answered any call.
	lastAnswer time.Duration
}

// pendingCall is a call without an answer.
type pendingCall struct {
	fence int64
	// done receives the result; its buffer holds one.
	done chan callResult
}

// callResult is the result of a call: an answer, errNotForwarded or platform.ErrNoAnswer.
type callResult struct {
	answer Answer
	err    error
}

// NewRelay returns a relay that calls workers through direct if there is no carrier.
func NewRelay(direct Workers, peers Peers, log *logrus.Entry) *Relay {
	return &Relay{direct: direct, peers: peers, log: log, links: map[string]*link{}}
}

// SetFleet sets the workers of the cell. Other workers are called directly.
func (r *Relay) SetFleet(workers []workload.Worker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routes.setFleet(workers)
	r.lastSelection = 0
}

// Start implements Workers.
func (r *Relay) Start(ctx context.Context, s platform.StartOrder) cell.Answer {
	answer, err := r.forwardOrder(ctx, s.FencingToken, s.Instance, Call{
		Verb: Start, Task: s.Task, Run: s.Run, Until: s.LeaseUntil,
		Spec: s.Spec, Checkpoint: s.Checkpoint, Ticket: s.Ticket,
	})
	if errors.Is(err, errNotForwarded) {
		return r.direct.Start(ctx, s)
	}
	return answer
}

// Stop implements Workers.
func (r *Relay) Stop(ctx context.Context, i platform.Instance, id workload.TaskID, run int, fence int64) cell.Answer {
	answer, err := r.forwardOrder(ctx, fence, i, Call{Verb: Stop, Task: id, Run: run})
	if errors.Is(err, errNotForwarded) {
		return r.direct.Stop(ctx, i, id, run, fence)
	}
	return answer
}

// Pace implements Workers.
func (r *Relay) Pace(ctx context.Context, i platform.Instance, id workload.TaskID, run int, fence int64, percent int) cell.Answer {
	answer, err := r.forwardOrder(ctx, fence, i, Call{Verb: Pace, Task: id, Run: run, Percent: percent})
	if errors.Is(err, errNotForwarded) {
		return r.direct.Pace(ctx, i, id, run, fence, percent)
	}
	return answer
}

// Hold implements Workers.
func (r *Relay) Hold(ctx context.Context, i platform.Instance, fence, acked, until int64, wait time.Duration) (platform.HoldResponse, error) {
	limited, cancel := context.WithTimeout(ctx, wait+holdSlack)
	defer cancel()
	answer, err := r.forward(limited, fence, i, Call{Verb: Hold, Seen: acked, Until: until, Wait: wait}, holdBatchDelay)
	switch {
	case errors.Is(err, errNotForwarded):
		return r.direct.Hold(ctx, i, fence, acked, until, wait)
	case err != nil:
		return platform.HoldResponse{}, err
	case answer.Order == cell.OtherLife && answer.Lists != nil:
		return platform.HoldResponse{}, cell.OtherLifeError{Life: answer.Lists.Life}
	case answer.Lists != nil:
		return answer.Lists.decode(), nil
	case answer.Order == cell.Fenced:
		return platform.HoldResponse{}, errors.Annotate(cell.ErrFenced, answer.Why)
	case answer.Order == cell.OtherLife:
		return platform.HoldResponse{}, cell.ErrOtherLife
	default:
		return platform.HoldResponse{}, errors.Errorf("hold through carrier: %s", answer.Why)
	}
}

// forwardOrder forwards a call that the worker answers without waiting.
func (r *Relay) forwardOrder(ctx context.Context, fence int64, i platform.Instance, c Call) (cell.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answer, err := r.forward(ctx, fence, i, c, orderBatchDelay)
	if err != nil {
		return cell.NoAnswer, err
	}
	return answer.Order, nil
}

// forward sends a call to the carrier of its worker and waits for the answer.
func (r *Relay) forward(ctx context.Context, fence int64, i platform.Instance, c Call, delay time.Duration) (Answer, error) {
	c.Address, c.Worker = i.Address, i.Worker
	host, number, waiting := r.enqueue(fence, c, i.Life, delay)
	if waiting == nil {
		return Answer{}, errNotForwarded
	}
	select {
	case done := <-waiting:
		return done.answer, done.err
	case <-ctx.Done():
		r.handleTimeout(host, number)
		return Answer{}, errors.WithType(ctx.Err(), platform.ErrNoAnswer)
	}
}

// enqueue adds a call to the batch for its carrier. The returned channel is nil if there
// is no carrier.
func (r *Relay) enqueue(fence int64, c Call, life int64, delay time.Duration) (host string, number uint64, waiting chan callResult) {
	now := clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.selectCarriers(now)
	host, ok := r.routes.carrierFor(c.Worker)
	if !ok {
		return "", 0, nil
	}
	w := r.links[host]
	if w == nil {
		w = &link{pending: map[uint64]pendingCall{}, lastAnswer: now}
		r.links[host] = w
	}
	if len(w.pending) == 0 {
		// No call was pending, so that the carrier had nothing to answer.
		w.lastAnswer = now
	}
	if w.batch.Fence != fence || len(w.batch.Calls) >= maxBatchCalls {
		r.sendBatch(host, w)
	}
	r.lastNumber++
	c.Number = r.lastNumber
	waiting = make(chan callResult, 1)
	w.pending[c.Number] = pendingCall{fence: fence, done: waiting}
	w.batch.Fence = fence
	w.batch.add(c, life)
	r.scheduleFlush(host, w, now, delay)
	return host, c.Number, waiting
}

// scheduleFlush schedules the sending of a batch after a delay, unless it is already due
// earlier.
func (r *Relay) scheduleFlush(host string, w *link, now, delay time.Duration) {
	due := now + delay
	switch {
	case w.flush == nil:
		w.flush = time.AfterFunc(delay, func() { r.flush(host) })
	case len(w.batch.Calls) == 1 || due < w.flushAt:
		w.flush.Reset(delay)
	default:
		return
	}
	w.flushAt = due
}

func (r *Relay) flush(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sendBatch(host, r.links[host])
}

// sendBatch sends the batch for a carrier. If there is no connection, its calls fail with
// errNotForwarded, because they have certainly not been made. The caller holds r.mu.
func (r *Relay) sendBatch(host string, w *link) {
	batch := w.batch
	w.batch = Calls{}
	if len(batch.Calls) == 0 {
		return
	}
	if r.peers.SendCalls(host, batch) {
		r.Calls.Add(int64(len(batch.Calls)))
		r.Batches.Add(1)
		return
	}
	for _, c := range batch.Calls {
		w.complete(c.Number, callResult{err: errNotForwarded})
	}
	r.markSuspect(clock.Now(), host, "no connection")
}

// complete delivers the result of a call, unless its caller no longer waits.
func (w *link) complete(number uint64, result callResult) {
	if p, ok := w.pending[number]; ok {
		delete(w.pending, number)
		p.done <- result
	}
}

// selectCarriers selects carriers every selectInterval, and fails the pending calls of
// carriers that can no longer be reached. The caller holds r.mu.
func (r *Relay) selectCarriers(now time.Duration) {
	if r.lastSelection != 0 && now-r.lastSelection < selectInterval {
		return
	}
	r.lastSelection = now
	if len(r.routes.groups) == 0 {
		return
	}
	peers := r.peers.Peers()
	r.routes.assign(now, peers)
	reachable := map[string]bool{}
	for _, p := range peers {
		reachable[p.Host] = true
	}
	for host, w := range r.links {
		if !reachable[host] && len(w.pending) > 0 {
			r.failPending(host, w, "connection lost")
		}
	}
}

// handleTimeout removes a call that was not answered in time. If the carrier has answered
// nothing for silenceTimeout, it is excluded for some time, and its other pending calls
// end without an answer.
func (r *Relay) handleTimeout(host string, number uint64) {
	now := clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.links[host]
	delete(w.pending, number)
	if now-w.lastAnswer > silenceTimeout {
		r.markSuspect(now, host, "no answer")
		r.failPending(host, w, "no answer")
	}
}

// failPending ends all pending calls of a carrier without an answer: they may have been
// made.
func (r *Relay) failPending(host string, w *link, why string) {
	r.log.WithFields(logrus.Fields{"carrier": host, "calls": len(w.pending), "why": why}).Warn("carrier: calls given up")
	w.batch = Calls{}
	for number := range w.pending {
		w.complete(number, callResult{err: platform.ErrNoAnswer})
	}
}

// markSuspect excludes a carrier for some time.
func (r *Relay) markSuspect(now time.Duration, host, why string) {
	r.log.WithFields(logrus.Fields{"carrier": host, "why": why}).Warn("carrier: passed over")
	r.routes.markSuspect(now, host)
	r.lastSelection = 0
}

// HandleAnswers processes the answers of a carrier.
func (r *Relay) HandleAnswers(host string, a Answers) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.links[host]
	if w == nil {
		return
	}
	w.lastAnswer = clock.Now()
	for _, answer := range a.Answers {
		if w.pending[answer.Number].fence == a.Fence {
			w.complete(answer.Number, callResult{answer: answer})
		}
	}
}

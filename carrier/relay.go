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
	// orderPause is how long an order waits for others to the same carrier: those that
	// one transaction has let out come at once.
	orderPause = 2 * time.Millisecond
	// holdPause is the same for a hold, which a worker answers at its next end.
	holdPause = 20 * time.Millisecond
	// batchMost ends a batch, in calls.
	batchMost = 256
	// chooseInterval is the pause between two choices of carriers.
	chooseInterval = 250 * time.Millisecond
	// holdSlack is what a hold may take beyond its wait: what it may take between a
	// carrier and a worker, and two batches.
	holdSlack = 800 * time.Millisecond
	// orderTimeout bounds an order whose caller sets no bound.
	orderTimeout = time.Second
	// silenceBound is how long a carrier may give no answer to anything before one that
	// is late makes it suspect.
	silenceBound = 500 * time.Millisecond
)

// errNotCarried tells that no carrier has got a call.
const errNotCarried = errors.ConstError("call was not carried")

// Workers speaks with workers.
type Workers interface {
	Start(ctx context.Context, s platform.Start) cell.Answer
	Stop(ctx context.Context, address, worker string, id workload.TaskID, run int, fence int64) cell.Answer
	Pace(ctx context.Context, address, worker string, id workload.TaskID, run int, fence int64, percent int) cell.Answer
	Hold(ctx context.Context, address, worker string, fence, seen, until int64, wait time.Duration) (platform.Lists, error)
}

// Peers are the other entry hosts.
type Peers interface {
	// Peers lists the hosts that can be reached, without this one.
	Peers() []Peer
	// SendCalls passes a batch on to a host. It reports false if it can't have left.
	SendCalls(host string, c Calls) bool
}

// Relay speaks with workers through carriers, and directly where there is none. Use
// NewRelay to make one.
type Relay struct {
	// Calls counts those that were handed to carriers, Batches the messages that took.
	Calls, Batches atomic.Int64

	direct Workers
	peers  Peers
	log    *logrus.Entry

	mu     sync.Mutex
	routes routes
	chosen time.Duration
	number uint64
	// ways holds what is under way to each carrier.
	ways map[string]*way
}

// way is what is under way to one carrier.
type way struct {
	// batch holds what waits to be sent under a fencing token.
	batch Calls
	flush *time.Timer
	// due is when the batch is sent.
	due time.Duration
	// pending holds the calls without an answer.
	pending map[uint64]pending
	// heard is when the carrier last answered anything.
	heard time.Duration
}

// pending is a call without an answer.
type pending struct {
	fence int64
	// done has room for what becomes of the call.
	done chan carried
}

// carried is what became of a call: its answer, errNotCarried or platform.ErrNoAnswer.
type carried struct {
	answer Answer
	err    error
}

// NewRelay returns a relay that calls workers by direct where it has no carrier.
func NewRelay(direct Workers, peers Peers, log *logrus.Entry) *Relay {
	return &Relay{direct: direct, peers: peers, log: log, ways: map[string]*way{}}
}

// SetFleet takes the workers of the cell. Those that are not among them are called
// directly.
func (r *Relay) SetFleet(workers []workload.Worker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routes.setFleet(workers)
	r.chosen = 0
}

// Start implements Workers.
func (r *Relay) Start(ctx context.Context, s platform.Start) cell.Answer {
	answer, err := r.order(ctx, s.Fence, Call{
		Verb: Start, Address: s.Address, Worker: s.Worker, Task: s.Task, Run: s.Run, Until: s.Until,
		Spec: s.Spec, Checkpoint: s.Checkpoint, Ticket: s.Ticket,
	})
	if errors.Is(err, errNotCarried) {
		return r.direct.Start(ctx, s)
	}
	return answer
}

// Stop implements Workers.
func (r *Relay) Stop(ctx context.Context, address, worker string, id workload.TaskID, run int, fence int64) cell.Answer {
	answer, err := r.order(ctx, fence, Call{Verb: Stop, Address: address, Worker: worker, Task: id, Run: run})
	if errors.Is(err, errNotCarried) {
		return r.direct.Stop(ctx, address, worker, id, run, fence)
	}
	return answer
}

// Pace implements Workers.
func (r *Relay) Pace(ctx context.Context, address, worker string, id workload.TaskID, run int, fence int64, percent int) cell.Answer {
	answer, err := r.order(ctx, fence, Call{Verb: Pace, Address: address, Worker: worker, Task: id, Run: run, Percent: percent})
	if errors.Is(err, errNotCarried) {
		return r.direct.Pace(ctx, address, worker, id, run, fence, percent)
	}
	return answer
}

// Hold implements Workers.
func (r *Relay) Hold(ctx context.Context, address, worker string, fence, seen, until int64, wait time.Duration) (platform.Lists, error) {
	limited, cancel := context.WithTimeout(ctx, wait+holdSlack)
	defer cancel()
	answer, err := r.call(limited, fence, Call{Verb: Hold, Address: address, Worker: worker, Seen: seen, Until: until, Wait: wait}, holdPause)
	switch {
	case errors.Is(err, errNotCarried):
		return r.direct.Hold(ctx, address, worker, fence, seen, until, wait)
	case err != nil:
		return platform.Lists{}, err
	case answer.Lists != nil:
		return answer.Lists.decode(), nil
	case answer.Order == cell.Fenced:
		return platform.Lists{}, errors.Annotate(cell.ErrFenced, answer.Why)
	case answer.Order == cell.OtherLife:
		return platform.Lists{}, cell.ErrOtherLife
	default:
		return platform.Lists{}, errors.Errorf("carried hold: %s", answer.Why)
	}
}

// order makes a call that is answered at once.
func (r *Relay) order(ctx context.Context, fence int64, c Call) (cell.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answer, err := r.call(ctx, fence, c, orderPause)
	if err != nil {
		return cell.NoAnswer, err
	}
	return answer.Order, nil
}

// call hands a call to the carrier of its worker and waits for the answer.
func (r *Relay) call(ctx context.Context, fence int64, c Call, pause time.Duration) (Answer, error) {
	host, number, waiting := r.enqueue(fence, c, pause)
	if waiting == nil {
		return Answer{}, errNotCarried
	}
	select {
	case done := <-waiting:
		return done.answer, done.err
	case <-ctx.Done():
		r.late(host, number)
		return Answer{}, errors.WithType(ctx.Err(), platform.ErrNoAnswer)
	}
}

// enqueue puts a call into the batch for its carrier. The channel is nil if there is none.
func (r *Relay) enqueue(fence int64, c Call, pause time.Duration) (host string, number uint64, waiting chan carried) {
	now := clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.choose(now)
	host, ok := r.routes.of(c.Worker)
	if !ok {
		return "", 0, nil
	}
	w := r.ways[host]
	if w == nil {
		w = &way{pending: map[uint64]pending{}, heard: now}
		r.ways[host] = w
	}
	if len(w.pending) == 0 {
		// It had nothing to answer.
		w.heard = now
	}
	if w.batch.Fence != fence || len(w.batch.Calls) >= batchMost {
		r.send(host, w)
	}
	r.number++
	c.Number = r.number
	waiting = make(chan carried, 1)
	w.pending[c.Number] = pending{fence: fence, done: waiting}
	w.batch.Fence = fence
	w.batch.Calls = append(w.batch.Calls, c)
	r.schedule(host, w, now, pause)
	return host, c.Number, waiting
}

// schedule sends a batch after a pause, or before if it is due sooner.
func (r *Relay) schedule(host string, w *way, now, pause time.Duration) {
	due := now + pause
	switch {
	case w.flush == nil:
		w.flush = time.AfterFunc(pause, func() { r.flush(host) })
	case len(w.batch.Calls) == 1 || due < w.due:
		w.flush.Reset(pause)
	default:
		return
	}
	w.due = due
}

func (r *Relay) flush(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.send(host, r.ways[host])
}

// send passes the batch for a carrier on. Without a connection its calls have certainly
// not been made. r.mu is held.
func (r *Relay) send(host string, w *way) {
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
		w.finish(c.Number, carried{err: errNotCarried})
	}
	r.suspect(clock.Now(), host, "no connection")
}

// finish hands out what became of a call, unless its caller has gone.
func (w *way) finish(number uint64, c carried) {
	if p, ok := w.pending[number]; ok {
		delete(w.pending, number)
		p.done <- c
	}
}

// choose chooses carriers now and then, and gives up what a carrier has that can't be
// reached any more. r.mu is held.
func (r *Relay) choose(now time.Duration) {
	if r.chosen != 0 && now-r.chosen < chooseInterval {
		return
	}
	r.chosen = now
	if len(r.routes.groups) == 0 {
		return
	}
	peers := r.peers.Peers()
	r.routes.choose(now, peers)
	reachable := map[string]bool{}
	for _, p := range peers {
		reachable[p.Host] = true
	}
	for host, w := range r.ways {
		if !reachable[host] && len(w.pending) > 0 {
			r.giveUp(host, w, "connection lost")
		}
	}
}

// late takes a call off that was not answered in time. A carrier that answers nothing is
// passed over for some time.
func (r *Relay) late(host string, number uint64) {
	now := clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.ways[host]
	delete(w.pending, number)
	if now-w.heard > silenceBound {
		r.suspect(now, host, "no answer")
		r.giveUp(host, w, "no answer")
	}
}

// giveUp ends all calls at a carrier without an answer: they may have been made.
func (r *Relay) giveUp(host string, w *way, why string) {
	r.log.WithFields(logrus.Fields{"carrier": host, "calls": len(w.pending), "why": why}).Warn("carrier: calls given up")
	w.batch = Calls{}
	for number := range w.pending {
		w.finish(number, carried{err: platform.ErrNoAnswer})
	}
}

// suspect passes a carrier over for some time.
func (r *Relay) suspect(now time.Duration, host, why string) {
	r.log.WithFields(logrus.Fields{"carrier": host, "why": why}).Warn("carrier: passed over")
	r.routes.suspect(now, host)
	r.chosen = 0
}

// HandleAnswers takes the answers of a carrier.
func (r *Relay) HandleAnswers(host string, a Answers) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.ways[host]
	if w == nil {
		return
	}
	w.heard = clock.Now()
	for _, answer := range a.Answers {
		if w.pending[answer.Number].fence == a.Fence {
			w.finish(answer.Number, carried{answer: answer})
		}
	}
}

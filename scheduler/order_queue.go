package scheduler

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/ring"
)

const (
	// maxQueuedOrders bounds the stops, and the other orders, that are queued for one
	// worker.
	maxQueuedOrders = 1024
	// minOrderSenders and maxOrderSenders bound the orders that are sent to a worker
	// concurrently. A worker has 64 connections for all hosts.
	minOrderSenders, maxOrderSenders = 2, 16
	// maxOrderDelay is the expected delay of the last queued order from which further
	// senders are added. An order takes a round trip, which is 40 ms between regions, and
	// all tasks of a gang must start within 3 s.
	maxOrderDelay = 100 * time.Millisecond
	// orderTimeWeight is the weight of past values in the moving mean of the time that an
	// order takes.
	orderTimeWeight = 3
)

// order is a start, a stop or a pace order.
type order struct {
	start *cell.Start
	// queuedAt is when a start was queued.
	queuedAt time.Duration
	stop     *cell.Stop
	pace     *cell.Pace
}

// orderQueue holds the orders that wait to be sent to one worker. Stops go first: they free
// capacity, and the tasks of a cancelled job must be gone in time however many starts wait.
// Use newOrderQueue to create one.
type orderQueue struct {
	stops, others *ring.Ring[order]
	// senders is the number of goroutines that send orders.
	senders atomic.Int32
	// meanTime is the moving mean of the time that an answered order takes, in nanoseconds.
	meanTime atomic.Int64
}

func newOrderQueue() *orderQueue {
	return &orderQueue{stops: ring.New[order](maxQueuedOrders), others: ring.New[order](maxQueuedOrders)}
}

// tryPut queues an order. It reports false if the queue is full.
func (q *orderQueue) tryPut(o order) bool {
	if o.stop != nil {
		return q.stops.TryPut(o) == nil
	}
	return q.others.TryPut(o) == nil
}

// next waits for an order. It reports false if the context has ended.
func (q *orderQueue) next(ctx context.Context) (order, bool) {
	if o, ok := q.tryNext(); ok && ctx.Err() == nil {
		return o, true
	}
	select {
	case <-ctx.Done():
		return order{}, false
	case o := <-q.stops.Values():
		return o, true
	case o := <-q.others.Values():
		return o, true
	}
}

// tryNext returns the next order, or false if none is queued.
func (q *orderQueue) tryNext() (order, bool) {
	select {
	case o := <-q.stops.Values():
		return o, true
	default:
	}
	select {
	case o := <-q.others.Values():
		return o, true
	default:
		return order{}, false
	}
}

// recordTime updates the mean with the time that an answered order took.
func (q *orderQueue) recordTime(took time.Duration) {
	mean := q.meanTime.Load()
	q.meanTime.Store((orderTimeWeight*mean + int64(took)) / (orderTimeWeight + 1))
}

// addSender reports whether a further sender is needed, and counts it.
func (q *orderQueue) addSender() bool {
	n := q.senders.Load()
	queued := int64(q.stops.Depth() + q.others.Depth())
	if n >= maxOrderSenders || queued*q.meanTime.Load() <= int64(n)*int64(maxOrderDelay) {
		return false
	}
	return q.senders.CompareAndSwap(n, n+1)
}

// startSenders starts the senders that run for as long as the session.
func (d *workerSession) startSenders(ctx context.Context) {
	d.orders.senders.Store(minOrderSenders)
	for range minOrderSenders {
		d.owner.group.Go(func() {
			for o, ok := d.orders.next(ctx); ok; o, ok = d.orders.next(ctx) {
				d.sendOrder(ctx, o)
			}
		})
	}
}

// sendOrder sends an order, and starts a further sender if too many others wait. That one
// ends when no order waits.
func (d *workerSession) sendOrder(ctx context.Context, o order) {
	begun := clock.Now()
	var answer cell.Answer
	switch {
	case o.start != nil:
		answer = d.sendStart(ctx, *o.start, o.queuedAt)
	case o.stop != nil:
		answer = d.sendStop(ctx, *o.stop)
	default:
		answer = d.sendPace(ctx, *o.pace)
	}
	switch answer {
	case cell.Unsent, cell.Unreached, cell.NoAnswer:
		// More senders would not help.
	default:
		d.orders.recordTime(clock.Now() - begun)
	}
	if ctx.Err() != nil || !d.orders.addSender() {
		return
	}
	d.owner.group.Go(func() {
		defer d.orders.senders.Add(-1)
		for o, ok := d.orders.tryNext(); ok && ctx.Err() == nil; o, ok = d.orders.tryNext() {
			d.sendOrder(ctx, o)
		}
	})
}

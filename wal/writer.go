package wal

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"github.com/vanillaquay/vanillaquay/chart"
	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/ring"
	"github.com/vanillaquay/vanillaquay/timer"
)

var journalChart = chart.MustLoad("Journal")

// ErrNotAccepted reports that the writer did not accept an entry, which will
// certainly not be durable.
const ErrNotAccepted = errors.ConstError("journal is not accepting this entry")

// Limits of a writer.
const (
	// maxQueuedItems is the capacity of the queue of items to be written.
	maxQueuedItems = 8192
	// maxBatchEntries is the maximum number of entries in one row.
	maxBatchEntries = 512
	// fullBatchBytes is the size from which on a row gets no further entries.
	fullBatchBytes = 128 << 10
	// entryOverheadBytes is the estimated size of an entry without its payload or
	// body.
	entryOverheadBytes = 96
	// minDoubtTimeout and maxDoubtTimeout bound how long a write may be in flight
	// before its entries count as in doubt. Between these bounds the timeout
	// follows the latency of the store, so that a slow store does not put every
	// entry in doubt.
	minDoubtTimeout = 60 * time.Millisecond
	maxDoubtTimeout = time.Second
	// doubtTimeoutFactor is the ratio of the timeout to the latency of the
	// previous write.
	doubtTimeoutFactor = 4
	// probeInterval is the pause between reads that check whether a table that
	// was unavailable responds again.
	probeInterval = 250 * time.Millisecond
	// closeTimeout bounds how long a closing writer goes on writing queued items.
	closeTimeout = time.Second
)

// Listener is notified of the outcomes of a partition's journal. Its methods are
// called from one goroutine, in the order in which the outcomes became known.
type Listener interface {
	// Recovered passes the entries that the journal holds. It is called once,
	// before all other methods.
	Recovered(entries []record.Entry)
	// Recorded reports that the entry with the token is durable.
	Recorded(token uint64)
	// Failed reports that the entry with the token is not durable. If it is in
	// doubt, exactly one call of Recorded, or of Failed without doubt, follows
	// once the outcome is certain.
	Failed(token uint64, inDoubt bool)
	// SnapshotDue requests a snapshot of the state that results from all entries
	// so far, which are those of the rows up to covers. The listener submits it
	// with Writer.SubmitSnapshot.
	SnapshotDue(covers uint64)
	// Fenced reports that another member owns the partition. It is the last call.
	Fenced()
}

// Writer writes the journal of one partition: it batches entries into rows,
// resolves rows in doubt and stores snapshots. Use NewWriter to create one. Put,
// SubmitSnapshot and State may be called from any goroutine.
type Writer struct {
	store     Store
	partition string
	owner     string
	epoch     uint64
	listener  Listener
	// limiter limits the rate of new rows, of snapshot pages and of removed rows.
	// Rows that are written on close are exempt.
	limiter          *rate.Limiter
	items            *ring.Ring[Item]
	pendingSnapshots *ring.Ring[pendingSnapshot]
	closed           chan struct{}

	mu sync.Mutex
	// state is a state of the chart Journal.
	state chart.State
	// snapshotTrigger counts what was written since the last snapshot was requested.
	snapshotTrigger snapshotTrigger

	// The fields below belong to the goroutine of Run.

	journal *Journal
	// pending holds items that were removed from the queue and are written next,
	// in order.
	pending []Item
}

// NewWriter returns a writer that does nothing until Run is called. The limiter
// may be shared by many writers.
func NewWriter(store Store, partition, owner string, epoch uint64, limiter *rate.Limiter, l Listener) *Writer {
	return &Writer{
		store: store, partition: partition, owner: owner, epoch: epoch, listener: l, limiter: limiter,
		items: ring.New[Item](maxQueuedItems), pendingSnapshots: ring.New[pendingSnapshot](1), closed: make(chan struct{}),
		state: journalChart.Initial(),
	}
}

// Put queues an item to be written. If it returns an error, the entry is certainly
// not durable and the listener is not notified of it.
func (w *Writer) Put(i Item) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.accepts(i) {
		return errors.WithType(errors.Errorf("journal of partition %s is %s", w.partition, w.state), ErrNotAccepted)
	}
	return w.items.TryPut(i)
}

// accepts reports whether the item may be queued in the current state. The caller
// must hold w.mu.
func (w *Writer) accepts(i Item) bool {
	switch w.state {
	case "Ready", "Writing":
		return true
	case "InDoubt", "Down":
		return i.mustRecord()
	default:
		return false
	}
}

// State returns the state of the chart Journal.
func (w *Writer) State() chart.State {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state
}

// QueuedEntries returns the number of entries in the queue.
func (w *Writer) QueuedEntries() int { return w.items.Depth() }

// IsOpen reports whether the journal was recovered and has not been closed or
// fenced since.
func (w *Writer) IsOpen() bool {
	s := w.State()
	return s != journalChart.Initial() && !journalChart.Final(s)
}

// step applies an event to the state. An event that the chart does not allow in the
// current state is ignored.
func (w *Writer) step(e chart.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if next, err := journalChart.Next(w.state, e); err == nil {
		w.state = next
	}
}

// Close makes the writer reject new items, write the queued ones and stop. The
// outcome of a row that is not settled within closeTimeout is left for the next
// owner to find when it reads the journal.
func (w *Writer) Close() {
	w.step("Close")
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.closed:
	default:
		close(w.closed)
	}
}

// Run writes the journal until the context ends, the writer is closed, or another
// owner has fenced it.
func (w *Writer) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.enforceCloseTimeout(ctx, cancel)
	}()
	if w.open(ctx) {
		w.serveAndCompact(ctx, cancel)
	}
	cancel()
	<-ended
}

// enforceCloseTimeout cancels the writer's context closeTimeout after Close, even
// if a row is still in doubt.
func (w *Writer) enforceCloseTimeout(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-ctx.Done():
	case <-w.closed:
		timer.Sleep(ctx, closeTimeout)
		cancel()
	}
}

// serveAndCompact writes rows and, concurrently, stores snapshots.
func (w *Writer) serveAndCompact(ctx context.Context, cancel context.CancelFunc) {
	compacting := make(chan struct{})
	go func() {
		defer close(compacting)
		w.compactLoop(ctx)
	}()
	w.serve(ctx)
	cancel()
	<-compacting
}

// open reads the journal and fences earlier owners, with retries until it succeeds.
// It reports whether the writer may go on.
func (w *Writer) open(ctx context.Context) bool {
	ctx, cancel := w.untilClosed(ctx)
	defer cancel()
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		journal, entries, err := Open(ctx, w.store, w.partition, w.owner, w.epoch)
		if err == nil {
			w.journal = journal
			w.listener.Recovered(entries)
			w.step("Opened")
			return w.State() != "Closed"
		}
		if !timer.Sleep(ctx, jitter(pause)) {
			return false
		}
	}
}

// untilClosed returns a context that ends when the writer is closed.
func (w *Writer) untilClosed(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-w.closed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// serve writes rows until the writer is closed or fenced, or the context ends.
func (w *Writer) serve(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.closed:
			w.flush(ctx)
			return
		case i := <-w.nextItem():
			w.pending = append(w.pending, i)
		}
		if !w.awaitLimiter(ctx) || !w.write(ctx, w.batch()) {
			return
		}
	}
}

// nextItem returns a channel with the next item: the first pending one, or else the
// next one from the queue.
func (w *Writer) nextItem() <-chan Item {
	if len(w.pending) == 0 {
		return w.items.Values()
	}
	ready := make(chan Item, 1)
	ready <- w.pending[0]
	w.pending = w.pending[1:]
	return ready
}

// awaitLimiter waits until the rate limiter permits the next row or the writer is
// closed. It reports whether the row may be written.
func (w *Writer) awaitLimiter(ctx context.Context) bool {
	ctx, cancel := w.untilClosed(ctx)
	defer cancel()
	if err := w.limiter.Wait(ctx); err == nil {
		return true
	}
	select {
	case <-w.closed:
		return true
	default:
		return false
	}
}

// batch returns the items of the next row.
func (w *Writer) batch() []Item {
	var items []Item
	size := 0
	for len(items) < maxBatchEntries && size < fullBatchBytes {
		if len(w.pending) == 0 && !w.dequeue() {
			break
		}
		items = append(items, w.pending[0])
		size += w.pending[0].size()
		w.pending = w.pending[1:]
	}
	return items
}

// dequeue moves one item from the queue to pending without waiting. It reports
// whether there was one.
func (w *Writer) dequeue() bool {
	select {
	case i := <-w.items.Values():
		w.pending = append(w.pending, i)
		return true
	default:
		return false
	}
}

// flush writes the items that were queued before the writer was closed.
func (w *Writer) flush(ctx context.Context) {
	for {
		items := w.batch()
		if len(items) == 0 || !w.write(ctx, items) {
			return
		}
	}
}

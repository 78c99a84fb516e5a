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

// ErrNotAccepted tells that a record was not taken and will certainly not be
// durable.
const ErrNotAccepted = errors.ConstError("journal takes no records now")

// Limits of a duty.
const (
	// maxQueuedItems is the number of records that wait.
	maxQueuedItems = 8192
	// maxBatchEntries is the most entries of one row.
	maxBatchEntries = 512
	// fullBatchBytes is the size of a row to which nothing more is added.
	fullBatchBytes = 128 << 10
	// entryOverheadBytes is the size that an entry has besides its payload or body.
	entryOverheadBytes = 96
	// minDoubtTimeout and maxPatience bound how long a row may be on its way
	// before its entries count as in doubt. Between them it follows the pace of
	// the store, so that a slow one does not put everything in doubt.
	minDoubtTimeout = 60 * time.Millisecond
	maxDoubtTimeout = time.Second
	// doubtTimeoutFactor is by how much a write may exceed the one before.
	doubtTimeoutFactor = 4
	// probeInterval is the pause before a table that refused a row is looked at again.
	probeInterval = 250 * time.Millisecond
	// closeTimeout bounds how long a closing duty writes what it has taken.
	closeTimeout = time.Second
)

// Listener learns what becomes of a partition's journal. Its methods are called
// from one goroutine, in the order in which things became certain.
type Listener interface {
	// Recovered tells what the journal holds; it comes first, and once.
	Recovered(entries []record.Entry)
	// Recorded tells that the entry with the token is durable.
	Recorded(token uint64)
	// Failed tells that the entry with the token is not durable. If it is in
	// doubt, exactly one call of Recorded, or of Failed without doubt, follows
	// once that is settled.
	Failed(token uint64, inDoubt bool)
	// SnapshotDue asks for a snapshot of what the entries so far make up. The answer
	// goes to Duty.Snapshot.
	SnapshotDue(covers uint64)
	// Fenced tells that another member owns the partition; it comes last.
	Fenced()
}

// Writer keeps the journal of one partition: it gathers entries in rows, settles
// rows in doubt and stores snapshots. Use NewDuty to make one. Put, Snapshot and
// State may be called from any goroutine.
type Writer struct {
	store     Store
	partition string
	owner     string
	epoch     uint64
	listener  Listener
	// limiter is asked before each write that can wait.
	limiter          *rate.Limiter
	items            *ring.Ring[Item]
	pendingSnapshots *ring.Ring[pendingSnapshot]
	closed           chan struct{}

	mu sync.Mutex
	// state is a state of the chart Journal.
	state chart.State
	// snapshotTrigger is what was written since the last snapshot was asked for.
	snapshotTrigger snapshotTrigger

	// The fields below belong to the goroutine of Run.

	log *Journal
	// pending holds taken items that are to be written next, in order.
	pending []Item
}

// NewWriter returns a duty that has not begun. Writes keep to the given pace,
// which may be shared by many duties.
func NewWriter(store Store, partition, owner string, epoch uint64, pace *rate.Limiter, l Listener) *Writer {
	return &Writer{
		store: store, partition: partition, owner: owner, epoch: epoch, listener: l, limiter: pace,
		items: ring.New[Item](maxQueuedItems), pendingSnapshots: ring.New[pendingSnapshot](1), closed: make(chan struct{}),
		state: journalChart.Initial(),
	}
}

// Put hands in an entry. If it returns an error the listener is not told about
// the entry, which is certainly not durable.
func (d *Writer) Put(i Item) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.accepts(i) {
		return errors.WithType(errors.Errorf("partition %s is %s", d.partition, d.state), ErrNotAccepted)
	}
	return d.items.TryPut(i)
}

// accepts reports whether the state allows an item, with d.mu held.
func (d *Writer) accepts(i Item) bool {
	switch d.state {
	case "Ready", "Writing":
		return true
	case "InDoubt", "Down":
		return i.mustRecord()
	default:
		return false
	}
}

// State returns the state of the chart Journal.
func (d *Writer) State() chart.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state
}

// QueuedEntries returns the number of entries that wait to be written.
func (d *Writer) QueuedEntries() int { return d.items.Depth() }

// IsOpen reports whether the journal was recovered and not given up since.
func (d *Writer) IsOpen() bool {
	s := d.State()
	return s != journalChart.Initial() && !journalChart.Final(s)
}

func (d *Writer) step(e chart.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if next, err := journalChart.Next(d.state, e); err == nil {
		d.state = next
	}
}

// Close makes the duty take nothing more, write what it has taken and end. What
// can't be written in a short time is left to the next owner to settle.
func (d *Writer) Close() {
	d.step("Close")
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.closed:
	default:
		close(d.closed)
	}
}

// Run keeps the journal until the context ends, the duty is closed, or another
// owner has fenced it.
func (d *Writer) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.enforceCloseTimeout(ctx, cancel)
	}()
	if d.open(ctx) {
		d.serveAndCompact(ctx, cancel)
	}
	cancel()
	<-ended
}

// enforceCloseTimeout ends the duty some time after it was closed, whatever is in doubt.
func (d *Writer) enforceCloseTimeout(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-ctx.Done():
	case <-d.closed:
		timer.Sleep(ctx, closeTimeout)
		cancel()
	}
}

// serveAndCompact writes rows and, beside that, snapshots.
func (d *Writer) serveAndCompact(ctx context.Context, cancel context.CancelFunc) {
	cutting := make(chan struct{})
	go func() {
		defer close(cutting)
		d.compactLoop(ctx)
	}()
	d.serve(ctx)
	cancel()
	<-cutting
}

// open reads and fences the journal, trying until it succeeds.
func (d *Writer) open(ctx context.Context) bool {
	ctx, cancel := d.untilClosed(ctx)
	defer cancel()
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		log, entries, err := Open(ctx, d.store, d.partition, d.owner, d.epoch)
		if err == nil {
			d.log = log
			d.listener.Recovered(entries)
			d.step("Opened")
			return d.State() != "Closed"
		}
		if !timer.Sleep(ctx, jitter(pause)) {
			return false
		}
	}
}

// untilClosed returns a context that ends when the duty is closed.
func (d *Writer) untilClosed(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-d.closed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// serve writes rows until the duty ends.
func (d *Writer) serve(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.closed:
			d.flush(ctx)
			return
		case i := <-d.nextItem():
			d.pending = append(d.pending, i)
		}
		if !d.awaitLimiter(ctx) || !d.write(ctx, d.batch()) {
			return
		}
	}
}

// nextItem returns where the next item comes from; kept ones go before others.
func (d *Writer) nextItem() <-chan Item {
	if len(d.pending) == 0 {
		return d.items.Values()
	}
	ready := make(chan Item, 1)
	ready <- d.pending[0]
	d.pending = d.pending[1:]
	return ready
}

// awaitLimiter waits for the turn of the next row; closing ends the wait.
func (d *Writer) awaitLimiter(ctx context.Context) bool {
	ctx, cancel := d.untilClosed(ctx)
	defer cancel()
	if err := d.limiter.Wait(ctx); err == nil {
		return true
	}
	select {
	case <-d.closed:
		return true
	default:
		return false
	}
}

// batch gathers the items of the next row.
func (d *Writer) batch() []Item {
	var items []Item
	size := 0
	for len(items) < maxBatchEntries && size < fullBatchBytes {
		if len(d.pending) == 0 && !d.dequeue() {
			break
		}
		items = append(items, d.pending[0])
		size += d.pending[0].size()
		d.pending = d.pending[1:]
	}
	return items
}

// dequeue takes one item from the ring without waiting.
func (d *Writer) dequeue() bool {
	select {
	case i := <-d.items.Values():
		d.pending = append(d.pending, i)
		return true
	default:
		return false
	}
}

// flush writes what was taken before the duty was closed.
func (d *Writer) flush(ctx context.Context) {
	for {
		items := d.batch()
		if len(items) == 0 || !d.write(ctx, items) {
			return
		}
	}
}

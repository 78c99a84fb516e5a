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

// ErrNotTaken tells that a record was not taken and will certainly not be
// durable.
const ErrNotTaken = errors.ConstError("journal takes no records now")

// Limits of a duty.
const (
	// itemRing is the number of records that wait.
	itemRing = 8192
	// batchLimit is the most entries of one row.
	batchLimit = 512
	// batchBytes is the size of a row to which nothing more is added.
	batchBytes = 128 << 10
	// entryBytes is the size that an entry has besides its payload or body.
	entryBytes = 96
	// minPatience and maxPatience bound how long a row may be on its way
	// before its entries count as in doubt. Between them it follows the pace of
	// the store, so that a slow one does not put everything in doubt.
	minPatience = 60 * time.Millisecond
	maxPatience = time.Second
	// patienceFactor is by how much a write may exceed the one before.
	patienceFactor = 4
	// downPause is the pause before a table that refused a row is looked at again.
	downPause = 250 * time.Millisecond
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
	// Due asks for a snapshot of what the entries so far make up. The answer
	// goes to Duty.Snapshot.
	Due(covers uint64)
	// Fenced tells that another member owns the partition; it comes last.
	Fenced()
}

// Duty keeps the journal of one partition: it gathers entries in rows, settles
// rows in doubt and stores snapshots. Use NewDuty to make one. Put, Snapshot and
// State may be called from any goroutine.
type Duty struct {
	store     Store
	partition string
	owner     string
	epoch     uint64
	listener  Listener
	// pace is asked before each write that can wait.
	pace   *rate.Limiter
	items  *ring.Ring[Item]
	cuts   *ring.Ring[cut]
	closed chan struct{}

	mu sync.Mutex
	// state is a state of the chart Journal.
	state chart.State
	// growth is what was written since the last snapshot was asked for.
	growth growth

	// The fields below belong to the goroutine of Run.

	log *Journal
	// left holds taken items that are to be written next, in order.
	left []Item
}

// NewDuty returns a duty that has not begun. Writes keep to the given pace,
// which may be shared by many duties.
func NewDuty(store Store, partition, owner string, epoch uint64, pace *rate.Limiter, l Listener) *Duty {
	return &Duty{
		store: store, partition: partition, owner: owner, epoch: epoch, listener: l, pace: pace,
		items: ring.New[Item](itemRing), cuts: ring.New[cut](1), closed: make(chan struct{}),
		state: journalChart.Initial(),
	}
}

// Put hands in an entry. If it returns an error the listener is not told about
// the entry, which is certainly not durable.
func (d *Duty) Put(i Item) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.takes(i) {
		return errors.WithType(errors.Errorf("partition %s is %s", d.partition, d.state), ErrNotTaken)
	}
	return d.items.TryPut(i)
}

// takes reports whether the state allows an item, with d.mu held.
func (d *Duty) takes(i Item) bool {
	switch d.state {
	case "Ready", "Writing":
		return true
	case "InDoubt", "Down":
		return i.kept()
	default:
		return false
	}
}

// State returns the state of the chart Journal.
func (d *Duty) State() chart.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state
}

// Waiting returns the number of entries that wait to be written.
func (d *Duty) Waiting() int { return d.items.Depth() }

// Open reports whether the journal was recovered and not given up since.
func (d *Duty) Open() bool {
	s := d.State()
	return s != journalChart.Initial() && !journalChart.Final(s)
}

func (d *Duty) step(e chart.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if next, err := journalChart.Next(d.state, e); err == nil {
		d.state = next
	}
}

// Close makes the duty take nothing more, write what it has taken and end. What
// can't be written in a short time is left to the next owner to settle.
func (d *Duty) Close() {
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
func (d *Duty) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.endInTime(ctx, cancel)
	}()
	if d.open(ctx) {
		d.serveAndCut(ctx, cancel)
	}
	cancel()
	<-ended
}

// endInTime ends the duty some time after it was closed, whatever is in doubt.
func (d *Duty) endInTime(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-ctx.Done():
	case <-d.closed:
		timer.Sleep(ctx, closeTimeout)
		cancel()
	}
}

// serveAndCut writes rows and, beside that, snapshots.
func (d *Duty) serveAndCut(ctx context.Context, cancel context.CancelFunc) {
	cutting := make(chan struct{})
	go func() {
		defer close(cutting)
		d.cutAll(ctx)
	}()
	d.serve(ctx)
	cancel()
	<-cutting
}

// open reads and fences the journal, trying until it succeeds.
func (d *Duty) open(ctx context.Context) bool {
	ctx, cancel := d.untilClosed(ctx)
	defer cancel()
	for pause := minPause; ; pause = min(2*pause, maxPause) {
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
func (d *Duty) untilClosed(ctx context.Context) (context.Context, context.CancelFunc) {
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
func (d *Duty) serve(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.closed:
			d.finish(ctx)
			return
		case i := <-d.first():
			d.left = append(d.left, i)
		}
		if !d.paced(ctx) || !d.write(ctx, d.batch()) {
			return
		}
	}
}

// first returns where the next item comes from; kept ones go before others.
func (d *Duty) first() <-chan Item {
	if len(d.left) == 0 {
		return d.items.Values()
	}
	ready := make(chan Item, 1)
	ready <- d.left[0]
	d.left = d.left[1:]
	return ready
}

// paced waits for the turn of the next row; closing ends the wait.
func (d *Duty) paced(ctx context.Context) bool {
	ctx, cancel := d.untilClosed(ctx)
	defer cancel()
	if err := d.pace.Wait(ctx); err == nil {
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
func (d *Duty) batch() []Item {
	var items []Item
	size := 0
	for len(items) < batchLimit && size < batchBytes {
		if len(d.left) == 0 && !d.fill() {
			break
		}
		items = append(items, d.left[0])
		size += d.left[0].size()
		d.left = d.left[1:]
	}
	return items
}

// fill takes one item from the ring without waiting.
func (d *Duty) fill() bool {
	select {
	case i := <-d.items.Values():
		d.left = append(d.left, i)
		return true
	default:
		return false
	}
}

// finish writes what was taken before the duty was closed.
func (d *Duty) finish(ctx context.Context) {
	for {
		items := d.batch()
		if len(items) == 0 || !d.write(ctx, items) {
			return
		}
	}
}

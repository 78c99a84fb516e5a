package wal

import (
	"context"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/timer"
)

// A snapshot is asked for after rowsPerCut rows, or once the rows since the last
// one are larger than it and than bytesPerCut. So a recovery reads a bounded
// number of rows, and snapshots cost no more than the rows that they replace.
const (
	rowsPerCut  = 512
	bytesPerCut = 256 << 10
)

// growth is what was written since the last snapshot was asked for.
type growth struct {
	rows, bytes int
	// last is the size of the last snapshot in bytes.
	last int
	// asked tells that a snapshot is under way.
	asked bool
}

func (g growth) due() bool {
	return !g.asked && (g.rows >= rowsPerCut || g.bytes >= max(bytesPerCut, g.last))
}

// cut is a snapshot on its way to the object store.
type cut struct {
	covers  uint64
	entries []record.Entry
}

// grow counts a row and asks for a snapshot if one is due.
func (d *Duty) grow(items []Item) {
	d.mu.Lock()
	d.growth.rows++
	for _, i := range items {
		d.growth.bytes += i.size()
	}
	due := d.growth.due()
	if due {
		d.growth = growth{asked: true, last: d.growth.last}
	}
	d.mu.Unlock()
	if due {
		d.listener.Due(d.log.next - 1)
	}
}

// Snapshot hands in what the entries up to row covers make up.
func (d *Duty) Snapshot(covers uint64, entries []record.Entry) {
	if err := d.cuts.TryPut(cut{covers: covers, entries: entries}); err != nil {
		// Only one is asked for at a time, so that there is room.
		panic(errors.Annotate(err, "snapshot"))
	}
}

// cutAll stores snapshots until the context ends. While the object store is down
// the same snapshot is tried again, and the journal grows.
func (d *Duty) cutAll(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-d.cuts.Values():
			d.cutOne(ctx, c)
		}
	}
}

func (d *Duty) cutOne(ctx context.Context, c cut) {
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		size, err := d.log.Cut(ctx, c.covers, c.entries, d.pace.Wait)
		if err == nil {
			d.mu.Lock()
			d.growth.asked, d.growth.last = false, size
			d.mu.Unlock()
			return
		}
		if errors.Is(err, ErrFenced) || !timer.Sleep(ctx, jitter(pause)) {
			return
		}
	}
}

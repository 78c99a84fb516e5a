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
	rowsPerSnapshot  = 512
	bytesPerSnapshot = 256 << 10
)

// snapshotTrigger is what was written since the last snapshot was asked for.
type snapshotTrigger struct {
	rows, bytes int
	// lastBytes is the size of the last snapshot in bytes.
	lastBytes int
	// requested tells that a snapshot is under way.
	requested bool
}

func (g snapshotTrigger) due() bool {
	return !g.requested && (g.rows >= rowsPerSnapshot || g.bytes >= max(bytesPerSnapshot, g.lastBytes))
}

// pendingSnapshot is a snapshot on its way to the object store.
type pendingSnapshot struct {
	covers  uint64
	entries []record.Entry
}

// requestSnapshotIfDue counts a row and asks for a snapshot if one is due.
func (d *Writer) requestSnapshotIfDue(items []Item) {
	d.mu.Lock()
	d.snapshotTrigger.rows++
	for _, i := range items {
		d.snapshotTrigger.bytes += i.size()
	}
	due := d.snapshotTrigger.due()
	if due {
		d.snapshotTrigger = snapshotTrigger{requested: true, lastBytes: d.snapshotTrigger.lastBytes}
	}
	d.mu.Unlock()
	if due {
		d.listener.SnapshotDue(d.log.next - 1)
	}
}

// SubmitSnapshot hands in what the entries up to row covers make up.
func (d *Writer) SubmitSnapshot(covers uint64, entries []record.Entry) {
	if err := d.pendingSnapshots.TryPut(pendingSnapshot{covers: covers, entries: entries}); err != nil {
		// Only one is asked for at a time, so that there is room.
		panic(errors.Annotate(err, "snapshot"))
	}
}

// compactLoop stores snapshots until the context ends. While the object store is down
// the same snapshot is tried again, and the journal grows.
func (d *Writer) compactLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-d.pendingSnapshots.Values():
			d.compact(ctx, c)
		}
	}
}

func (d *Writer) compact(ctx context.Context, c pendingSnapshot) {
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		size, err := d.log.Compact(ctx, c.covers, c.entries, d.limiter.Wait)
		if err == nil {
			d.mu.Lock()
			d.snapshotTrigger.requested, d.snapshotTrigger.lastBytes = false, size
			d.mu.Unlock()
			return
		}
		if errors.Is(err, ErrFenced) || !timer.Sleep(ctx, jitter(pause)) {
			return
		}
	}
}

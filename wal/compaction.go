package wal

import (
	"context"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/timer"
)

// A snapshot is requested after rowsPerSnapshot rows, or once the rows since the
// last one are as large as that snapshot and as bytesPerSnapshot. This bounds the
// rows that a recovery reads, and keeps the cost of snapshots at most that of the
// rows that they replace.
const (
	rowsPerSnapshot  = 512
	bytesPerSnapshot = 256 << 10
)

// snapshotTrigger counts what was written since the last snapshot was requested.
type snapshotTrigger struct {
	rows, bytes int
	// lastBytes is the size of the last snapshot.
	lastBytes int
	// requested reports whether a snapshot is in progress.
	requested bool
}

func (t snapshotTrigger) due() bool {
	return !t.requested && (t.rows >= rowsPerSnapshot || t.bytes >= max(bytesPerSnapshot, t.lastBytes))
}

// pendingSnapshot is a snapshot that is yet to be stored.
type pendingSnapshot struct {
	covers  uint64
	entries []record.Entry
}

// requestSnapshotIfDue counts a written row and requests a snapshot from the
// listener if one is due.
func (w *Writer) requestSnapshotIfDue(items []Item) {
	w.mu.Lock()
	w.snapshotTrigger.rows++
	for _, i := range items {
		w.snapshotTrigger.bytes += i.size()
	}
	due := w.snapshotTrigger.due()
	if due {
		w.snapshotTrigger = snapshotTrigger{requested: true, lastBytes: w.snapshotTrigger.lastBytes}
	}
	w.mu.Unlock()
	if due {
		w.listener.SnapshotDue(w.journal.next - 1)
	}
}

// SubmitSnapshot submits the snapshot that the listener was asked for. The entries
// replace those of all rows up to sequence number covers.
func (w *Writer) SubmitSnapshot(covers uint64, entries []record.Entry) {
	if err := w.pendingSnapshots.TryPut(pendingSnapshot{covers: covers, entries: entries}); err != nil {
		// Only one snapshot is requested at a time, so the ring is empty.
		panic(errors.Annotate(err, "submit snapshot"))
	}
}

// compactLoop stores snapshots until the context ends. While the store fails, the
// same snapshot is retried and the journal grows.
func (w *Writer) compactLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-w.pendingSnapshots.Values():
			w.compact(ctx, s)
		}
	}
}

func (w *Writer) compact(ctx context.Context, s pendingSnapshot) {
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		size, err := w.journal.Compact(ctx, s.covers, s.entries, w.limiter.Wait)
		if err == nil {
			w.mu.Lock()
			w.snapshotTrigger.requested, w.snapshotTrigger.lastBytes = false, size
			w.mu.Unlock()
			return
		}
		if errors.Is(err, ErrFenced) || !timer.Sleep(ctx, jitter(pause)) {
			return
		}
	}
}

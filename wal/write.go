package wal

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/chart"
	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/timer"
)

// write makes items durable in one row and notifies the listener. It reports
// whether the writer may go on.
func (w *Writer) write(ctx context.Context, items []Item) bool {
	w.step("Write")
	entries := make([]record.Entry, len(items))
	for i := range items {
		entries[i] = items[i].Entry
	}
	doubtTimer := time.NewTimer(w.doubtTimeout())
	defer doubtTimer.Stop()
	done := make(chan error, 1)
	go func() { done <- w.journal.Append(ctx, entries) }()
	select {
	case err := <-done:
		return w.handleOutcome(ctx, items, err, "Written")
	case <-doubtTimer.C:
		w.reportDoubt(items)
		return w.handleOutcome(ctx, items, <-done, "Settled")
	}
}

// doubtTimeout returns how long the next write may be in flight before its entries
// count as in doubt.
func (w *Writer) doubtTimeout() time.Duration {
	return min(max(doubtTimeoutFactor*w.journal.lastLatency, minDoubtTimeout), maxDoubtTimeout)
}

// reportDoubt reports the items of a row as in doubt and rejects the queued ones.
func (w *Writer) reportDoubt(items []Item) {
	w.step("Waited")
	for _, i := range items {
		if !i.mustRecord() {
			w.listener.Failed(i.Token, true)
		}
	}
	w.rejectQueued()
}

// rejectQueued rejects all queued items except those that must be recorded. The
// caller has already changed the state, so that no such item can be queued afterwards.
func (w *Writer) rejectQueued() {
	for w.dequeue() {
	}
	queued := w.pending
	w.pending = nil
	w.reject(queued)
}

// reject reports items as certainly not durable. Those that must be recorded remain
// pending for the next row.
func (w *Writer) reject(items []Item) {
	for _, i := range items {
		if i.mustRecord() {
			w.pending = append(w.pending, i)
			continue
		}
		w.listener.Failed(i.Token, false)
	}
}

// handleOutcome notifies the listener of the certain outcome of a row. It reports
// whether the writer may go on.
func (w *Writer) handleOutcome(ctx context.Context, items []Item, err error, event chart.Event) bool {
	switch {
	case err == nil:
		for _, i := range items {
			w.listener.Recorded(i.Token)
		}
		w.step(event)
		w.requestSnapshotIfDue(items)
		return true
	case errors.Is(err, tablestore.ErrUnavailable):
		return w.handleUnavailable(ctx, items)
	case errors.Is(err, ErrFenced):
		w.step("Fenced")
		for _, i := range items {
			w.listener.Failed(i.Token, false)
		}
		w.listener.Fenced()
		return false
	default:
		return false
	}
}

// handleUnavailable rejects items after the table refused a row, retains those that
// must be recorded, and waits until the table responds again.
func (w *Writer) handleUnavailable(ctx context.Context, items []Item) bool {
	w.step("Failed")
	later := w.pending
	w.pending = nil
	w.reject(items)
	w.pending = append(w.pending, later...)
	w.rejectQueued()
	w.awaitTable(ctx)
	w.step("Paused")
	return true
}

// awaitTable probes the table with reads until one succeeds or the writer is closed.
// Until then new entries are rejected without a call, so that no entry serves as the
// probe for the end of the outage.
func (w *Writer) awaitTable(ctx context.Context) {
	ctx, cancel := w.untilClosed(ctx)
	defer cancel()
	for timer.Sleep(ctx, jitter(probeInterval)) && !w.journal.tableResponds(ctx) {
		continue
	}
}

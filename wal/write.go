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

// write makes items durable in one row and tells the listener. It reports
// whether the duty goes on.
func (d *Writer) write(ctx context.Context, items []Item) bool {
	d.step("Write")
	entries := make([]record.Entry, len(items))
	for i := range items {
		entries[i] = items[i].Entry
	}
	patience := time.NewTimer(d.doubtTimeout())
	defer patience.Stop()
	done := make(chan error, 1)
	go func() { done <- d.log.Append(ctx, entries) }()
	select {
	case err := <-done:
		return d.handleOutcome(ctx, items, err, "Written")
	case <-patience.C:
		d.reportDoubt(items)
		return d.handleOutcome(ctx, items, <-done, "Settled")
	}
}

// doubtTimeout returns how long the next row may be on its way.
func (d *Writer) doubtTimeout() time.Duration {
	return min(max(doubtTimeoutFactor*d.log.lastLatency, minDoubtTimeout), maxDoubtTimeout)
}

// reportDoubt tells that items are in doubt and refuses what waits behind them.
func (d *Writer) reportDoubt(items []Item) {
	d.step("Waited")
	for _, i := range items {
		if !i.mustRecord() {
			d.listener.Failed(i.Token, true)
		}
	}
	d.rejectQueued()
}

// rejectQueued refuses the items that wait, but for those that are kept. The
// state has changed before, so that none can follow.
func (d *Writer) rejectQueued() {
	for d.dequeue() {
	}
	waiting := d.pending
	d.pending = nil
	d.reject(waiting)
}

// reject tells that items are certainly not durable; those to be kept are left
// for the next row.
func (d *Writer) reject(items []Item) {
	for _, i := range items {
		if i.mustRecord() {
			d.pending = append(d.pending, i)
			continue
		}
		d.listener.Failed(i.Token, false)
	}
}

// handleOutcome tells the listener the certain outcome of a row and reports whether
// the duty goes on.
func (d *Writer) handleOutcome(ctx context.Context, items []Item, err error, event chart.Event) bool {
	switch {
	case err == nil:
		for _, i := range items {
			d.listener.Recorded(i.Token)
		}
		d.step(event)
		d.requestSnapshotIfDue(items)
		return true
	case errors.Is(err, tablestore.ErrUnavailable):
		return d.handleUnavailable(ctx, items)
	case errors.Is(err, ErrFenced):
		d.step("Fenced")
		for _, i := range items {
			d.listener.Failed(i.Token, false)
		}
		d.listener.Fenced()
		return false
	default:
		return false
	}
}

// handleUnavailable waits until the table may be tried again.
func (d *Writer) handleUnavailable(ctx context.Context, items []Item) bool {
	d.step("Failed")
	later := d.pending
	d.pending = nil
	d.reject(items)
	d.pending = append(d.pending, later...)
	d.rejectQueued()
	d.awaitTable(ctx)
	d.step("Paused")
	return true
}

// awaitTable waits until the table answers a read, or the duty is closed. Until then
// what comes is refused without a call: no entry is the one that finds out whether the
// outage is over.
func (d *Writer) awaitTable(ctx context.Context) {
	ctx, cancel := d.untilClosed(ctx)
	defer cancel()
	for timer.Sleep(ctx, jitter(probeInterval)) && !d.log.tableResponds(ctx) {
		continue
	}
}

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
func (d *Duty) write(ctx context.Context, items []Item) bool {
	d.step("Write")
	entries := make([]record.Entry, len(items))
	for i := range items {
		entries[i] = items[i].Entry
	}
	patience := time.NewTimer(d.patience())
	defer patience.Stop()
	done := make(chan error, 1)
	go func() { done <- d.log.Append(ctx, entries) }()
	select {
	case err := <-done:
		return d.written(ctx, items, err, "Written")
	case <-patience.C:
		d.doubt(items)
		return d.written(ctx, items, <-done, "Settled")
	}
}

// patience returns how long the next row may be on its way.
func (d *Duty) patience() time.Duration {
	return min(max(patienceFactor*d.log.took, minPatience), maxPatience)
}

// doubt tells that items are in doubt and refuses what waits behind them.
func (d *Duty) doubt(items []Item) {
	d.step("Waited")
	for _, i := range items {
		if !i.kept() {
			d.listener.Failed(i.Token, true)
		}
	}
	d.refuseWaiting()
}

// refuseWaiting refuses the items that wait, but for those that are kept. The
// state has changed before, so that none can follow.
func (d *Duty) refuseWaiting() {
	for d.fill() {
	}
	waiting := d.left
	d.left = nil
	d.refuse(waiting)
}

// refuse tells that items are certainly not durable; those to be kept are left
// for the next row.
func (d *Duty) refuse(items []Item) {
	for _, i := range items {
		if i.kept() {
			d.left = append(d.left, i)
			continue
		}
		d.listener.Failed(i.Token, false)
	}
}

// written tells the listener the certain outcome of a row and reports whether
// the duty goes on.
func (d *Duty) written(ctx context.Context, items []Item, err error, event chart.Event) bool {
	switch {
	case err == nil:
		for _, i := range items {
			d.listener.Recorded(i.Token)
		}
		d.step(event)
		d.grow(items)
		return true
	case errors.Is(err, tablestore.ErrUnavailable):
		return d.failed(ctx, items)
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

// failed waits until the table may be tried again.
func (d *Duty) failed(ctx context.Context, items []Item) bool {
	d.step("Failed")
	later := d.left
	d.left = nil
	d.refuse(items)
	d.left = append(d.left, later...)
	d.refuseWaiting()
	d.awaitTable(ctx)
	d.step("Paused")
	return true
}

// awaitTable waits until the table answers a read, or the duty is closed. Until then
// what comes is refused without a call: no entry is the one that finds out whether the
// outage is over.
func (d *Duty) awaitTable(ctx context.Context) {
	ctx, cancel := d.untilClosed(ctx)
	defer cancel()
	for timer.Sleep(ctx, jitter(downPause)) && !d.log.answers(ctx) {
		continue
	}
}

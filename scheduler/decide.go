package scheduler

import (
	"context"
	"math"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/ledger"
)

const (
	// eventBatch is the most events between two decisions.
	eventBatch = 256
	// tickInterval is the pause between two looks at what is due.
	tickInterval = 100 * time.Millisecond
	// schedulePause is the least time between two looks at what waits. A start waits for
	// its record, and records are at least commitPause apart.
	schedulePause = 20 * time.Millisecond
	// never is a wait for something that is not due.
	never = time.Duration(math.MaxInt64)
)

// decide is the decision duty.
func (o *Owner) decide(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	pace := time.NewTimer(0)
	defer pace.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.resigning:
			return o.resign(ctx)
		case <-o.fenced:
			return errors.Annotate(ledger.ErrNotOwner, "a worker obeys a later owner")
		case e := <-o.events.Values():
			o.handle(e)
		case <-tick.C:
			o.askDue = true
			o.advance()
			o.abandonFresh(clock.Now())
			o.dropMissing(clock.Now())
			o.takeWaves(clock.Now())
			o.prune(clock.Now())
			o.tellLoad(clock.Now())
		case <-pace.C:
		case err := <-o.committed:
			if err != nil {
				return err
			}
			o.release()
		}
		now := clock.Now()
		if c := o.catalogue.Swap(nil); c != nil {
			o.cell.SetCatalogue(*c)
		}
		next := o.schedule(now)
		o.dispatch(ctx)
		if wait, ok := o.commitDue(ctx); ok {
			next = min(next, wait)
		}
		if next < never {
			pace.Reset(next)
		}
	}
}

// schedule gives room to what waits, if something has changed since and the last time is
// long enough ago. It returns how long to wait for that. Each look goes through all that
// waits, and in a busy large cell an event comes each half millisecond. New jobs are looked
// at before the transaction that accepts them, so that it records their runs as well.
func (o *Owner) schedule(now time.Duration) time.Duration {
	if !o.cell.Stale() {
		return never
	}
	accepts := len(o.fresh) > 0 && !o.committing && now >= o.commitBegun+commitPause
	if wait := o.scheduled + schedulePause - now; wait > 0 && !accepts {
		return wait
	}
	o.scheduled = now
	o.cell.SetRecordDelay(o.recordDelay(now))
	o.cell.Schedule(now)
	return never
}

// advance lets time pass in the cell, after all that happened before. Grants are in the
// ring before they are sent: with one that is not taken yet a lease would seem to have
// ended that goes on.
func (o *Owner) advance() {
	o.takeWaiting(eventRing)
	o.cell.Tick(clock.Now(), time.Now().UnixMilli())
}

// handle takes an event and those that wait behind it.
func (o *Owner) handle(e event) {
	e(clock.Now())
	o.takeWaiting(eventBatch)
}

// takeWaiting takes the events that wait, up to a number, each at its own time: a report
// counts against what was answered before it was asked for, and some of that may come
// while the others are taken.
func (o *Owner) takeWaiting(most int) {
	for range most {
		select {
		case e := <-o.events.Values():
			e(clock.Now())
		default:
			return
		}
	}
}

// dispatch carries out what the cell wants done.
func (o *Owner) dispatch(ctx context.Context) {
	actions, changes, notes := o.cell.TakeOutput()
	o.write(notes)
	for _, c := range changes {
		_, earlier := o.records.finished.get(c.Job.ID)
		o.records.add(time.Now().UnixMilli(), c)
		if c.Progress.State.Final() && !earlier {
			o.desk.RemoveJob(c.Job.ID)
			o.pendingFinal[c.Job.ID] = true
			o.effects = append(o.effects, func() { delete(o.pendingFinal, c.Job.ID) })
		}
	}
	for _, s := range actions.Starts {
		o.effects = append(o.effects, func() { o.start(s) })
	}
	for _, s := range actions.Stops {
		o.stop(s)
	}
	for _, p := range actions.Paces {
		o.pace(p)
	}
	for _, l := range actions.Polls {
		if d := o.duties[l.Worker]; d != nil {
			d.look()
		}
	}
	for _, q := range actions.Questions {
		o.desk.Add(q)
		o.askDue = true
	}
	o.ask()
	o.attend(ctx)
}

// ask passes questions on to hosts that are free.
func (o *Owner) ask() {
	if !o.askDue || o.desk.QueueLength() == 0 {
		return
	}
	o.askDue = false
	now := clock.Now()
	for _, a := range o.desk.Assign(now, o.members.AdviceHosts()) {
		if !o.members.SendQuestion(a.Host, Question{Fence: o.Fence(), Question: a.Question}) {
			o.desk.RecordFailure(now, a.Host, a.Question)
			o.desk.Add(a.Question)
		}
	}
}

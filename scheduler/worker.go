package scheduler

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/ring"
	"github.com/vanillaquay/vanillaquay/timer"
	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// holdWait is how long a worker waits for an end before it reports.
	holdWait = 1500 * time.Millisecond
	// sharedWait is the same for a worker whose services are to be kept within
	// their targets; what the worker says of these is of the last half second.
	sharedWait = 500 * time.Millisecond
	// holdPause is the least time between two reports, so that ends come in
	// batches.
	holdPause = 25 * time.Millisecond
	// lossyWait is the same while answers of workers are lost: the ends on a worker are
	// not known until the next hold, so that a short one costs less.
	lossyWait = 400 * time.Millisecond
	// holdRetry is the pause after a hold without an answer.
	holdRetry = 250 * time.Millisecond
	// firstHoldRetry is the same for a worker that has answered the hold before: its
	// answer may just be lost.
	firstHoldRetry = 25 * time.Millisecond
	// orderRing bounds the orders that wait for one worker.
	orderRing = 1024
	// orderDuties is how many orders a worker gets at once.
	orderDuties = 2
	// orderPatience is how long a start may wait for a duty: half of a lease, within
	// which the cell knows that it may be sent.
	orderPatience = 2 * time.Second
)

// workerDuty speaks with one worker.
type workerDuty struct {
	owner  *Owner
	worker atomic.Pointer[workload.Worker]
	orders *ring.Ring[order]
	looks  *ring.Ring[struct{}]
	cancel context.CancelFunc
	// ends tells which ends the worker may forget.
	ends noted
	// offset is the worker's clock against this host's; nil while the worker
	// hasn't answered lately.
	offset atomic.Pointer[time.Duration]
	// shared tells that services run beside tasks that fill.
	shared atomic.Bool
	// idle is how long the worker needs no look, in nanoseconds; a start ends it.
	idle    atomic.Int64
	started *ring.Ring[struct{}]
	// missingSince is when the worker was last missing from the list; 0 is never.
	// Only the decision duty uses it.
	missingSince time.Duration
}

// order is a start, a stop or a share.
type order struct {
	start *cell.Start
	// queued is when a start was handed out.
	queued time.Duration
	stop   *cell.Stop
	pace   *cell.Pace
}

// attend begins duties for workers that are new, and ends those of workers that are
// gone.
func (o *Owner) attend(ctx context.Context) {
	version := o.cell.FleetVersion()
	if version == o.attended {
		return
	}
	allowed := o.attending.allow(clock.Now())
	if allowed == 0 {
		return
	}
	known := map[string]bool{}
	var fleet, fresh []workload.Worker
	for _, id := range o.cell.WorkerIDs() {
		known[id] = true
		w, ok := o.cell.Worker(id)
		if !ok || w.Address == "" {
			continue
		}
		fleet = append(fleet, w)
		if o.duties[id] == nil {
			fresh = append(fresh, w)
		}
	}
	o.workers.SetFleet(fleet)
	// Those with runs go first: their leases are to go on.
	slices.SortStableFunc(fresh, func(a, b workload.Worker) int { return cmp.Compare(o.cell.Runs(b.ID), o.cell.Runs(a.ID)) })
	if len(fresh) <= allowed {
		o.attended = version
	}
	fresh = fresh[:min(len(fresh), allowed)]
	for _, w := range fresh {
		o.duties[w.ID] = o.newDuty(ctx, w)
	}
	o.attending.took(len(fresh))
	for id, d := range o.duties {
		if !known[id] {
			d.cancel()
			delete(o.duties, id)
		}
	}
}

func (o *Owner) newDuty(ctx context.Context, w workload.Worker) *workerDuty {
	ctx, cancel := context.WithCancel(ctx)
	d := &workerDuty{owner: o, orders: ring.New[order](orderRing), looks: ring.New[struct{}](1), started: ring.New[struct{}](1), cancel: cancel}
	d.worker.Store(&w)
	o.group.Add(2 + orderDuties)
	go func() {
		defer o.group.Done()
		d.hold(ctx)
	}()
	go func() {
		defer o.group.Done()
		d.lookNow(ctx)
	}()
	for range orderDuties {
		go func() {
			defer o.group.Done()
			d.send(ctx)
		}()
	}
	return d
}

// look asks for a report beside the one that is waited for.
func (d *workerDuty) look() {
	// A full ring means that a look is about to be made.
	_ = d.looks.TryPut(struct{}{})
}

// hold keeps the lease of a worker and takes its reports.
func (d *workerDuty) hold(ctx context.Context) {
	wait := time.Duration(0)
	failed := 0
	for ctx.Err() == nil {
		pause := holdPause
		switch {
		case d.report(ctx, wait):
			if failed == 1 {
				d.owner.lost.note(clock.Now())
			}
			failed, wait = 0, d.holdWait()
			if d.idle.Load() > 0 && !d.rest(ctx) {
				return
			}
		case failed == 0:
			failed, wait, pause = 1, 0, firstHoldRetry
		default:
			failed, wait, pause = failed+1, 0, holdRetry
		}
		if !timer.Sleep(ctx, pause) {
			return
		}
	}
}

// rest waits until an idle worker is to be looked at, or gets a start: its lease must
// go on then. It reports whether the context still lasts.
func (d *workerDuty) rest(ctx context.Context) bool {
	due := time.NewTimer(time.Duration(d.idle.Load()))
	defer due.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-due.C:
	case <-d.started.Values():
	}
	return true
}

// holdWait is how long the next hold waits for an end.
func (d *workerDuty) holdWait() time.Duration {
	switch {
	case d.owner.lost.many(clock.Now()):
		return lossyWait
	case d.shared.Load():
		return sharedWait
	default:
		return holdWait
	}
}

func (d *workerDuty) lookNow(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.looks.Values():
			d.report(ctx, 0)
		}
	}
}

// report makes one hold. A worker that hasn't answered lately gets no lease, so
// that what runs there ends.
func (d *workerDuty) report(ctx context.Context, wait time.Duration) bool {
	o, w := d.owner, d.worker.Load()
	sent := clock.Now()
	if !o.orderly(sent) {
		return false
	}
	var until, forget int64
	if offset := d.offset.Load(); offset != nil {
		until = (sent + *offset + o.options.CellOptions.Lease).Milliseconds()
		o.deliver(ctx, func(time.Duration) { o.cell.RecordGrant(sent, w.ID) })
		forget = d.ends.forget()
	}
	o.count.Holds.Add(1)
	lists, err := o.workers.Hold(ctx, w.Address, w.ID, o.Fence(), forget, until, wait)
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		d.silent(err)
		return false
	}
	received := clock.Now()
	d.ends.heard(lists.Report.Life)
	offset := time.Duration(lists.Clock)*time.Millisecond - received
	if d.offset.Swap(&offset) == nil {
		o.log.WithFields(logrus.Fields{"worker": w.ID, "life": lists.Report.Life}).Info("scheduler: worker heard")
	}
	o.deliver(ctx, func(now time.Duration) { d.heard(now, sent, w.ID, lists.Report) })
	return true
}

// heard takes a report, and lets the worker forget its ends once they are recorded.
func (d *workerDuty) heard(now, sent time.Duration, id string, report cell.Report) {
	o := d.owner
	number := o.cell.HandleReport(now, sent, id, report)
	d.shared.Store(o.cell.NeedsPacing(id))
	d.idle.Store(int64(o.cell.IdlePollDelay(id)))
	if number == 0 {
		return
	}
	if d.ends.has(report.Life, number) {
		return
	}
	o.effects = append(o.effects, func() { d.ends.record(report.Life, number) })
}

// silent notes that a worker gave no answer. It may be another life when it is back.
func (d *workerDuty) silent(err error) {
	o := d.owner
	if errors.Is(err, cell.ErrFenced) {
		o.count.Fenced.Add(1)
		o.fencedOnce.Do(func() { close(o.fenced) })
	}
	if d.offset.Swap(nil) != nil {
		o.log.WithFields(logrus.Fields{"worker": d.worker.Load().ID, "why": err.Error()}).Warn("scheduler: worker silent")
	}
}

// send carries out orders.
func (d *workerDuty) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case order := <-d.orders.Values():
			switch {
			case order.start != nil:
				d.sendStart(ctx, *order.start, order.queued)
			case order.stop != nil:
				d.sendStop(ctx, *order.stop)
			default:
				d.sendPace(ctx, *order.pace)
			}
		}
	}
}

func (d *workerDuty) sendStart(ctx context.Context, s cell.Start, queued time.Duration) {
	o, w := d.owner, d.worker.Load()
	answered := func(a cell.Answer) {
		o.deliver(ctx, func(now time.Duration) { o.cell.HandleStartAnswer(now, s.Task, s.Run, w.ID, a) })
	}
	sent := clock.Now()
	offset := d.offset.Load()
	if offset == nil || !o.orderly(sent) || sent-queued > orderPatience {
		answered(cell.Unsent)
		return
	}
	o.deliver(ctx, func(time.Duration) { o.cell.RecordGrant(sent, w.ID) })
	start := platform.Start{
		Address: w.Address, Worker: w.ID, Task: s.Task, Run: s.Run, Spec: s.Spec, Checkpoint: s.Checkpoint, Ticket: s.Ticket,
		Fence: o.Fence(), Until: (sent + *offset + o.options.CellOptions.StartLease).Milliseconds(),
	}
	answer := sendCopies(ctx, func(ctx context.Context) cell.Answer { return o.workers.Start(ctx, start) })
	o.count.Starts.Add(1)
	o.count.Order.Record(clock.Now() - sent)
	answered(answer)
}

func (d *workerDuty) sendStop(ctx context.Context, s cell.Stop) {
	o, w := d.owner, d.worker.Load()
	if !o.orderly(clock.Now()) {
		return
	}
	answer := sendCopies(ctx, func(ctx context.Context) cell.Answer {
		return o.workers.Stop(ctx, w.Address, w.ID, s.Task, s.Run, o.Fence())
	})
	o.count.Stops.Add(1)
	o.deliver(ctx, func(now time.Duration) { o.cell.HandleStopAnswer(now, s.Task, s.Run, w.ID, answer) })
}

func (d *workerDuty) sendPace(ctx context.Context, p cell.Pace) {
	o, w := d.owner, d.worker.Load()
	if !o.orderly(clock.Now()) {
		return
	}
	answer := o.workers.Pace(ctx, w.Address, w.ID, p.Task, p.Run, o.Fence(), p.Percent)
	o.deliver(ctx, func(time.Duration) { o.cell.HandlePaceAnswer(p, answer) })
}

// pace hands an order to its worker's duty.
func (o *Owner) pace(p cell.Pace) {
	d := o.duties[p.Worker.ID]
	if d == nil || d.orders.TryPut(order{pace: &p}) != nil {
		o.cell.HandlePaceAnswer(p, cell.Unsent)
	}
}

// start hands an order to its worker's duty, if it is still wanted.
func (o *Owner) start(s cell.Start) {
	if o.resigned {
		// The next owner finds the run recorded, and the worker without it.
		return
	}
	now := clock.Now()
	d := o.duties[s.Worker.ID]
	if d == nil || s.TicketUntil != 0 && now > s.TicketUntil || !o.cell.ShouldSend(s) {
		o.cell.HandleUnsentStart(now, s)
		return
	}
	// Until it is sent, the lease must not count as ended.
	o.cell.RecordGrant(now, s.Worker.ID)
	if err := d.orders.TryPut(order{start: &s, queued: now}); err != nil {
		o.cell.HandleUnsentStart(now, s)
		return
	}
	// A full ring means that the worker is about to be looked at.
	_ = d.started.TryPut(struct{}{})
}

// stop hands an order to its worker's duty; it comes again if it is lost.
func (o *Owner) stop(s cell.Stop) {
	if d := o.duties[s.Worker.ID]; d != nil {
		// The cell sends a stop without an effect again.
		_ = d.orders.TryPut(order{stop: &s})
	}
}

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
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/ring"
	"github.com/vanillaquay/vanillaquay/timer"
	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// holdWait is how long a worker waits for the end of a run before it answers a hold.
	holdWait = 1500 * time.Millisecond
	// sharedHoldWait is the same for a worker whose services share it with other tasks
	// and must meet their targets; the measurements in its reports cover the last half
	// second.
	sharedHoldWait = 500 * time.Millisecond
	// minHoldInterval is the minimum pause between two holds, so that ends are reported
	// in batches.
	minHoldInterval = 25 * time.Millisecond
	// lossyHoldWait replaces holdWait while answers of workers are being lost: the ends
	// on a worker are unknown until the next hold, and a shorter hold delays them less.
	lossyHoldWait = 400 * time.Millisecond
	// holdRetryDelay is the pause after a hold without an answer.
	holdRetryDelay = 250 * time.Millisecond
	// firstHoldRetryDelay is the same if the worker answered the previous hold: only this
	// answer may be lost.
	firstHoldRetryDelay = 25 * time.Millisecond
	// unheardRetryDelay is the pause after a hold of a worker that has answered none for
	// unheardRetryAfter since its session started: its announcement may be of another writer,
	// and stay for ever.
	unheardRetryDelay = 2 * time.Second
	unheardRetryAfter = 3 * time.Second
	// maxOrderQueueTime is how long a start may be queued before it is withdrawn: half of
	// a lease, within which the cell assumes that it may be sent.
	maxOrderQueueTime = 2 * time.Second
)

// workerSession handles the communication of an owner with one worker.
type workerSession struct {
	owner  *Owner
	worker atomic.Pointer[workload.Worker]
	orders *orderQueue
	polls  *ring.Ring[struct{}]
	cancel context.CancelFunc
	// ends tracks the run ends that the worker may discard.
	ends recordedEnds
	// life is the life of the worker that calls are meant for: the one that was announced or
	// found last.
	life currentLife
	// runsSharedServices reports whether the worker runs services beside fillers.
	runsSharedServices atomic.Bool
	// idlePause is how long the idle worker needs no hold, in nanoseconds.
	idlePause atomic.Int64
	// wake ends a pause between holds: a start is queued, or the worker has another address
	// or life.
	wake *ring.Ring[struct{}]
	// missingSince is when the worker was first found missing from the list; 0 if it is
	// listed. Only the event loop uses it.
	missingSince time.Duration
}

// syncSessions starts sessions for new workers and ends those of removed workers.
func (o *Owner) syncSessions(ctx context.Context) {
	version := o.cell.FleetVersion()
	if version == o.syncedFleetVersion {
		return
	}
	allowed := o.ramp.available(clock.Now())
	if allowed == 0 {
		return
	}
	known := map[string]bool{}
	var fleet, added []workload.Worker
	for _, id := range o.cell.WorkerIDs() {
		known[id] = true
		w, ok := o.cell.Worker(id)
		if !ok || w.Address == "" {
			continue
		}
		fleet = append(fleet, w)
		if o.sessions[id] == nil {
			added = append(added, w)
		}
	}
	o.workers.SetFleet(fleet)
	// Workers with runs come first, because their leases must be renewed.
	slices.SortStableFunc(added, func(a, b workload.Worker) int { return cmp.Compare(o.cell.Runs(b.ID), o.cell.Runs(a.ID)) })
	if len(added) <= allowed {
		o.syncedFleetVersion = version
	}
	added = added[:min(len(added), allowed)]
	for _, w := range added {
		o.sessions[w.ID] = o.newSession(ctx, w)
	}
	o.ramp.consume(len(added))
	for id, d := range o.sessions {
		if !known[id] {
			d.cancel()
			delete(o.sessions, id)
		}
	}
}

func (o *Owner) newSession(ctx context.Context, w workload.Worker) *workerSession {
	ctx, cancel := context.WithCancel(ctx)
	d := &workerSession{owner: o, orders: newOrderQueue(), polls: ring.New[struct{}](1), wake: ring.New[struct{}](1), cancel: cancel}
	d.worker.Store(&w)
	d.life.replace(0, w.Life)
	o.group.Add(2)
	go func() {
		defer o.group.Done()
		d.runHolds(ctx)
	}()
	go func() {
		defer o.group.Done()
		d.servePolls(ctx)
	}()
	d.startSenders(ctx)
	return d
}

// requestHold ends a pause between two holds.
func (d *workerSession) requestHold() {
	// If the queue is full, a hold is already due.
	_ = d.wake.TryPut(struct{}{})
}

// requestPoll requests an immediate report in addition to the hold in flight.
func (d *workerSession) requestPoll() {
	// If the queue is full, a poll is already pending.
	_ = d.polls.TryPut(struct{}{})
}

// runHolds renews the lease of the worker and receives its reports, one hold after the
// other.
func (d *workerSession) runHolds(ctx context.Context) {
	wait := time.Duration(0)
	failed, heard, begun := 0, false, clock.Now()
	for ctx.Err() == nil {
		pause := minHoldInterval
		switch {
		case d.sendHold(ctx, wait):
			if failed == 1 {
				d.owner.lostAnswers.note(clock.Now())
			}
			failed, wait, heard = 0, d.holdWait(), true
			if idle := time.Duration(d.idlePause.Load()); idle > 0 && !d.waitForWake(ctx, idle) {
				return
			}
		case failed == 0:
			failed, wait, pause = 1, 0, firstHoldRetryDelay
		default:
			failed, wait, pause = failed+1, 0, holdRetryDelay
			if !heard && clock.Now()-begun > unheardRetryAfter && !d.waitForWake(ctx, unheardRetryDelay) {
				return
			}
		}
		if !timer.Sleep(ctx, pause) {
			return
		}
	}
}

// waitForWake waits for a time, or until the worker needs a hold. It reports false if the
// context has ended.
func (d *workerSession) waitForWake(ctx context.Context, pause time.Duration) bool {
	due := time.NewTimer(pause)
	defer due.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-due.C:
	case <-d.wake.Values():
	}
	return true
}

// holdWait returns how long the worker may delay its answer to the next hold.
func (d *workerSession) holdWait() time.Duration {
	switch {
	case d.owner.lostAnswers.thresholdReached(clock.Now()):
		return lossyHoldWait
	case d.runsSharedServices.Load():
		return sharedHoldWait
	default:
		return holdWait
	}
}

// servePolls sends an immediate hold for each requested poll.
func (d *workerSession) servePolls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.polls.Values():
			d.sendHold(ctx, 0)
		}
	}
}

// instance returns the life of the worker that calls are sent to.
func (d *workerSession) instance() platform.Instance {
	w := d.worker.Load()
	life, _, _ := d.life.get()
	return platform.Instance{Address: w.Address, Worker: w.ID, Life: life}
}

// sendHold sends one hold, which returns the worker's report and renews its lease. If the worker
// has another life, the hold is sent again to that one. It reports whether the worker answered.
func (d *workerSession) sendHold(ctx context.Context, wait time.Duration) bool {
	previous := d.instance()
	err := d.holdInstance(ctx, previous, wait)
	var other cell.OtherLifeError
	if errors.As(err, &other) {
		d.owner.log.WithFields(logrus.Fields{"worker": previous.Worker, "previous": previous.Life, "life": other.Life}).Info("scheduler: worker started again")
		d.life.replace(previous.Life, other.Life)
		err = d.holdInstance(ctx, d.instance(), 0)
	}
	return err == nil
}

// holdInstance sends one hold to a life of the worker. A worker that did not answer the last
// hold gets no lease, so that its runs end.
func (d *workerSession) holdInstance(ctx context.Context, i platform.Instance, wait time.Duration) error {
	o := d.owner
	sent := clock.Now()
	if !o.mayGiveOrders(sent) {
		return platform.ErrNotSent
	}
	var until, acked int64
	if life, offset, heard := d.life.get(); heard && life == i.Life {
		until = (sent + offset + o.options.CellOptions.Lease).Milliseconds()
		o.enqueue(ctx, func(time.Duration) { o.cell.RecordGrant(sent, i.Worker) })
		acked = d.ends.lastDiscardable(i.Life)
	}
	o.counters.Holds.Add(1)
	lists, err := o.workers.Hold(ctx, i, o.Fence(), acked, until, wait)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err == nil && i.Life != 0 && lists.Report.Life != i.Life {
		// The carrier is of a version that does not tell lives apart.
		o.log.WithFields(logrus.Fields{
			"worker": i.Worker, "previous": i.Life, "life": lists.Report.Life, "age_ms": (clock.Now() - sent).Milliseconds(), "acked": acked, "granted": until != 0,
			"running": len(lists.Report.Running), "ended": len(lists.Report.Ended),
		}).Warn("scheduler: another life of the worker answered")
		o.enqueue(ctx, func(now time.Duration) { o.cell.RecordLongestLease(now, i.Worker) })
		err = cell.OtherLifeError{Life: lists.Report.Life}
	}
	if err != nil {
		d.handleSilence(i.Life, err)
		return err
	}
	received := clock.Now()
	d.life.replace(0, lists.Report.Life)
	current, before := d.life.setHeard(lists.Report.Life, time.Duration(lists.Clock)*time.Millisecond-received)
	if !current {
		return cell.ErrOtherLife
	}
	if !before {
		o.log.WithFields(logrus.Fields{"worker": i.Worker, "life": lists.Report.Life}).Info("scheduler: worker heard")
	}
	o.enqueue(ctx, func(now time.Duration) { d.handleReport(now, sent, i.Worker, lists.Report) })
	return nil
}

// handleReport passes a report to the cell, and lets the worker discard its ends once
// they are recorded. A report that was overtaken by one of a later life is ignored.
func (d *workerSession) handleReport(now, sent time.Duration, id string, report cell.Report) {
	o := d.owner
	if life, _, _ := d.life.get(); life != report.Life {
		return
	}
	number := o.cell.HandleReport(now, sent, id, report)
	d.runsSharedServices.Store(o.cell.NeedsPacing(id))
	d.idlePause.Store(int64(o.cell.IdlePollDelay(id)))
	if number == 0 {
		return
	}
	if d.ends.isRecorded(report.Life, number) {
		return
	}
	o.pendingEffects = append(o.pendingEffects, effect{needs: []jobRecord{{table: ledger.ProgressTable}}, run: func() { d.ends.record(report.Life, number) }})
}

// handleSilence handles a hold that a life of the worker did not answer.
func (d *workerSession) handleSilence(life int64, err error) {
	o := d.owner
	if errors.Is(err, cell.ErrFenced) {
		o.counters.Fenced.Add(1)
		o.Supersede()
	}
	if d.life.setSilent(life) {
		o.log.WithFields(logrus.Fields{"worker": d.worker.Load().ID, "why": err.Error()}).Warn("scheduler: worker silent")
	}
}

// sendStart sends an order to start, unless it has become outdated in the queue or was placed on
// an earlier life of the worker, which may have been of another kind.
func (d *workerSession) sendStart(ctx context.Context, s cell.Start, queuedAt time.Duration) cell.Answer {
	o, w := d.owner, d.worker.Load()
	answered := func(a cell.Answer) cell.Answer {
		o.enqueue(ctx, func(now time.Duration) { o.cell.HandleStartAnswer(now, s.Task, s.Run, w.ID, a) })
		return a
	}
	sent := clock.Now()
	life, offset, heard := d.life.get()
	if !heard || life != s.Worker.Life || !o.mayGiveOrders(sent) || sent-queuedAt > maxOrderQueueTime || !s.Claim() {
		return answered(cell.Unsent)
	}
	o.enqueue(ctx, func(time.Duration) { o.cell.RecordGrant(sent, w.ID) })
	start := platform.StartOrder{
		Instance: platform.Instance{Address: w.Address, Worker: w.ID, Life: life},
		Task:     s.Task, Run: s.Run, Spec: s.Spec, Checkpoint: s.Checkpoint, Ticket: s.Ticket,
		FencingToken: o.Fence(), LeaseUntil: (sent + offset + o.options.CellOptions.StartLease).Milliseconds(),
	}
	answer := sendCopies(ctx, func(ctx context.Context) cell.Answer {
		if !s.Claim() {
			return cell.Unsent
		}
		answer := o.workers.Start(ctx, start)
		if answer == cell.NoAnswer {
			s.NoteUnanswered()
		}
		return answer
	})
	o.counters.Starts.Add(1)
	o.counters.Order.Record(clock.Now() - sent)
	if answer == cell.OtherLife {
		d.requestPoll()
	}
	return answered(answer)
}

// sendStop sends an order to stop, unless the worker has never been told to start the run.
func (d *workerSession) sendStop(ctx context.Context, s cell.Stop) cell.Answer {
	o, i := d.owner, d.instance()
	if !o.mayGiveOrders(clock.Now()) || !s.IsNeeded() {
		return cell.Unsent
	}
	answer := sendCopies(ctx, func(ctx context.Context) cell.Answer {
		return o.workers.Stop(ctx, i, s.Task, s.Run, o.Fence())
	})
	o.counters.Stops.Add(1)
	if answer == cell.OtherLife {
		d.requestPoll()
	}
	o.enqueue(ctx, func(now time.Duration) { o.cell.HandleStopAnswer(now, s.Task, s.Run, i.Worker, answer) })
	return answer
}

func (d *workerSession) sendPace(ctx context.Context, p cell.Pace) cell.Answer {
	o := d.owner
	if !o.mayGiveOrders(clock.Now()) {
		return cell.Unsent
	}
	answer := o.workers.Pace(ctx, d.instance(), p.Task, p.Run, o.Fence(), p.Percent)
	o.enqueue(ctx, func(time.Duration) { o.cell.HandlePaceAnswer(p, answer) })
	return answer
}

// enqueuePace queues a pace order for its worker.
func (o *Owner) enqueuePace(p cell.Pace) {
	d := o.sessions[p.Worker.ID]
	if d == nil || !d.orders.tryPut(order{pace: &p}) {
		o.cell.HandlePaceAnswer(p, cell.Unsent)
	}
}

// enqueueStart queues a start for its worker, if the cell still wants it.
func (o *Owner) enqueueStart(s cell.Start) {
	if o.resigned {
		// The next owner finds the run recorded, and the worker without it.
		return
	}
	now := clock.Now()
	d := o.sessions[s.Worker.ID]
	if d == nil || s.TicketUntil != 0 && now > s.TicketUntil || !o.cell.ShouldSend(s) {
		o.cell.HandleUnsentStart(now, s)
		return
	}
	// Until the start is sent, the lease must not count as expired.
	o.cell.RecordGrant(now, s.Worker.ID)
	if !d.orders.tryPut(order{start: &s, queuedAt: now}) {
		o.cell.HandleUnsentStart(now, s)
		return
	}
	d.requestHold()
}

// enqueueStop queues a stop for its worker.
func (o *Owner) enqueueStop(s cell.Stop) {
	if d := o.sessions[s.Worker.ID]; d != nil {
		// The cell sends a stop again that had no effect.
		_ = d.orders.tryPut(order{stop: &s})
	}
}

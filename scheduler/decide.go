package scheduler

import (
	"context"
	"math"
	"time"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/ledger"
)

const (
	// maxEventBatch bounds the further events that are handled with one event before the
	// next scheduling decision.
	maxEventBatch = 256
	// tickInterval is the interval between two checks for timers that are due.
	tickInterval = 100 * time.Millisecond
	// minScheduleInterval is the minimum interval between two scheduling passes. A start
	// waits for its record, and transactions start at least minCommitInterval apart.
	minScheduleInterval = 20 * time.Millisecond
	// never is the wait for something that is not scheduled.
	never = time.Duration(math.MaxInt64)
)

// runEventLoop handles events, schedules and commits until the tenure ends. After
// recovery, only its goroutine uses the cell and the records.
func (o *Owner) runEventLoop(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.resigning:
			return o.resign(ctx)
		case e := <-o.events.Values():
			o.handleEvent(e)
		case <-tick.C:
			o.adviceDue = true
			o.cell.SetIdleAdviceHosts(o.dispatcher.IdleHosts(o.members.AdviceHosts()))
			o.advanceClock()
			o.abandonNewJobs(clock.Now())
			o.removeMissing(clock.Now())
			o.planNewWaves(clock.Now())
			o.prune(clock.Now())
			o.logLoad(clock.Now())
			o.logForecasts(clock.Now())
			o.updateOrganisations(clock.Now())
		case <-wake.C:
		case err := <-o.commitResults:
			unrecorded, err := o.setApartRejected(err)
			if err != nil {
				return err
			}
			o.completeCommit(unrecorded)
		}
		now := clock.Now()
		o.applyCatalogue()
		next := o.schedule(now)
		o.dispatch(ctx)
		o.answerDueQueries(now)
		next = min(next, o.queries.next(now))
		if wait, ok := o.commitIfDue(ctx); ok {
			next = min(next, wait)
		}
		if next < never {
			wake.Reset(next)
		}
	}
}

// schedule assigns capacity to the queued steps if something has changed since the last
// pass and that pass is long enough ago; otherwise it returns how long to wait. A pass
// goes through the queue, and in a busy large cell there is an event every half
// millisecond. New jobs are scheduled just before the transaction that accepts them,
// regardless of the interval, so that the same transaction records their runs.
func (o *Owner) schedule(now time.Duration) time.Duration {
	if !o.cell.Stale() {
		return never
	}
	acceptsJobs := len(o.newJobReplies) > 0 && !o.committing && now >= o.commitStart+minCommitInterval
	if wait := o.lastSchedule + minScheduleInterval - now; wait > 0 && !acceptsJobs {
		return wait
	}
	o.lastSchedule = now
	o.cell.SetRecordDelay(o.recordDelay(now))
	o.cell.Schedule(now)
	return never
}

// advanceClock advances the time of the cell after handling all queued events. A lease
// grant is queued before it is sent; if it were still unhandled, a lease that has been
// extended would appear to have expired.
func (o *Owner) advanceClock() {
	o.drainEvents(maxQueuedEvents)
	o.cell.Tick(clock.Now(), time.Now().UnixMilli())
}

// handleEvent handles an event and the events queued behind it, up to maxEventBatch.
func (o *Owner) handleEvent(e event) {
	e(clock.Now())
	o.drainEvents(maxEventBatch)
}

// drainEvents handles up to limit queued events, each with its own time stamp. A report
// must not count as newer than an answer that arrived after the report was requested, and
// answers may arrive while the batch is being handled.
func (o *Owner) drainEvents(limit int) {
	for range limit {
		select {
		case e := <-o.events.Values():
			e(clock.Now())
		default:
			return
		}
	}
}

// dispatch carries out the actions that the cell has requested, and hands its changes to
// the records.
func (o *Owner) dispatch(ctx context.Context) {
	actions, changes, entries := o.cell.TakeOutput()
	o.logEntries(entries)
	o.addChanges(changes)
	for _, s := range actions.Starts {
		o.pendingEffects = append(o.pendingEffects, effect{
			needs: []jobRecord{{ledger.JobTable, s.Task.Job}, {ledger.ProgressTable, s.Task.Job}}, run: func() { o.enqueueStart(s) }, skip: func() { o.cell.HandleUnsentStart(clock.Now(), s) },
		})
	}
	for _, s := range actions.Stops {
		o.enqueueStop(s)
	}
	for _, p := range actions.Paces {
		o.enqueuePace(p)
	}
	for _, l := range actions.Polls {
		if d := o.sessions[l.Worker]; d != nil {
			d.requestPoll()
		}
	}
	for _, q := range actions.Questions {
		if q.Part == 1 {
			o.counters.DividedQuestions.Add(1)
		}
		o.dispatcher.Add(q)
		o.adviceDue = true
	}
	o.sendQuestions()
	o.syncSessions(ctx)
}

// addChanges hands changes of the cell to the records.
func (o *Owner) addChanges(changes []cell.Change) {
	for _, c := range changes {
		_, earlier := o.records.finished.get(c.Job.ID)
		o.records.add(time.Now().UnixMilli(), c)
		if c.Progress.State.Final() && !earlier {
			o.dispatcher.RemoveJob(c.Job.ID)
			o.markPendingFinal(c.Job.ID)
		}
	}
}

// sendQuestions sends waiting advice questions to hosts that are free.
func (o *Owner) sendQuestions() {
	if !o.adviceDue || o.dispatcher.QueueLength() == 0 {
		return
	}
	o.adviceDue = false
	now, hosts := clock.Now(), o.members.AdviceHosts()
	for _, a := range o.dispatcher.Assign(now, hosts) {
		if !o.members.SendQuestion(a.Host, Question{Fence: o.Fence(), Question: a.Question}) {
			o.dispatcher.RecordFailure(now, a.Host, a.Question)
			o.dispatcher.Requeue(a.Question)
		}
	}
	o.cell.SetIdleAdviceHosts(o.dispatcher.IdleHosts(hosts))
}

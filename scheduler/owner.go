package scheduler

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/advice"
	"github.com/vanillaquay/vanillaquay/backlog"
	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/organisation"
	"github.com/vanillaquay/vanillaquay/ring"
	"github.com/vanillaquay/vanillaquay/upkeep"
	"github.com/vanillaquay/vanillaquay/workload"
)

// maxQueuedEvents bounds the events queued for the event loop.
const maxQueuedEvents = 4096

// Options configures an owner.
type Options struct {
	Cell        string
	CellOptions cell.Options
	// StatusRetention is how long the state of a final job can be queried.
	StatusRetention time.Duration
	// EarlierOwnerTimeout is how long after its last lease renewal an earlier owner may
	// still give orders.
	EarlierOwnerTimeout time.Duration
	// Holder identifies this host to the machine service.
	Holder string
	// UpkeepTime is how long the upkeep of a machine takes. TakeoverPause is how long
	// after a takeover no upkeep order is sent.
	UpkeepTime, TakeoverPause time.Duration
	// MaxQueuedJobBytes bounds the jobs of calls that are queued for the event loop; 0 is no
	// limit.
	MaxQueuedJobBytes int64
}

// event is an input of the event loop.
type event func(now time.Duration)

// Owner schedules the work of a cell during one tenure. Use New to create one, and Run to
// run it.
type Owner struct {
	options Options
	ledger  *ledger.Ledger
	store   ledger.Store
	workers Workers
	members Members
	// machines is the machine service.
	machines Machines
	log      *logrus.Entry
	counters *Counters

	events     *ring.Ring[event]
	cell       *cell.Cell
	dispatcher advice.Dispatcher
	// adviceDue reports whether a waiting question may find a free host, because
	// something has changed since the last attempt.
	adviceDue bool
	sessions  map[string]*workerSession
	// ramp limits how fast sessions are started.
	ramp workerRamp
	// syncedFleetVersion is the fleet version for which all workers have sessions.
	syncedFleetVersion int
	group              sync.WaitGroup

	// catalogue is the newest version of the operator's queues, and appliedCatalogue the one
	// that the cell uses.
	catalogue        atomic.Pointer[workload.Catalogue]
	appliedCatalogue *workload.Catalogue
	// admission classifies new jobs.
	admission organisation.Admission
	// organisations is the status of the organisations, computed at lastOrganisations, and
	// loggedOrganisations what was last logged of each.
	organisations       atomic.Pointer[[]OrganisationStatus]
	lastOrganisations   time.Duration
	loggedOrganisations map[string]organisationLog
	records             *records
	waves               waves
	// newJobReplies holds, for each job that is not part of any transaction yet, the
	// callers that wait for its acceptance.
	newJobReplies map[string][]func(intake.Reply)
	// recordingJobs holds the jobs whose first record is in the transaction in flight.
	recordingJobs map[string]bool
	// pendingFinal holds the jobs whose final state has not been recorded yet.
	pendingFinal map[string]bool
	// queries holds the queries for the state of jobs that wait for their end.
	queries stateQueries
	// unconfirmed holds the callers that asked for unknown jobs since the transaction in
	// flight began, and unconfirmedInFlight those from before. They are told so once the next
	// transaction, or the one in flight, succeeds.
	unconfirmed, unconfirmedInFlight []func(intake.Reply)
	// pendingEffects holds what to do once the transaction after the one in flight
	// succeeds.
	pendingEffects []effect
	// inFlightEffects holds what to do once the transaction in flight succeeds.
	inFlightEffects []effect
	committing      bool
	commitResults   chan error
	// commitStart is the start time of the latest transaction.
	commitStart time.Duration
	// meanCommitTime is the moving mean of the duration of transactions.
	meanCommitTime time.Duration
	// lastCommitTime is the duration of the last transaction.
	lastCommitTime time.Duration
	// inFlightSince is the start time of the transaction in flight, in nanoseconds, for
	// other goroutines; 0 means none.
	inFlightSince atomic.Int64
	// lostAnswers counts the lost answers of workers.
	lostAnswers answerLosses
	// superseded is closed once a later owner is known to have taken the cell.
	superseded     chan struct{}
	supersededOnce sync.Once
	// lastSchedule is the time of the last scheduling pass.
	lastSchedule time.Duration
	// backlog bounds the jobs of the cell by backlogLimit, in bytes.
	backlog      backlog.Backlog
	backlogLimit atomic.Int64
	// queuedJobBytes is the memory of the jobs of queued calls.
	queuedJobBytes atomic.Int64
	// peakCallDelay is the longest time that a call has waited since the last
	// PeakCallDelay call.
	peakCallDelay atomic.Int64
	// tenureStart is when the tenure began.
	tenureStart time.Duration
	// resigned reports whether the cell has been released, after which nothing may be
	// started.
	resigned  bool
	lastPrune time.Duration
	// rejections is used by recover, and then by the watch of the workers.
	rejections rejectionLog
	// lastLearned is when a transaction last recorded what the cell has learned, and learned is
	// what it wrote.
	lastLearned time.Duration
	learned     learnedRows
	// lastLoadLog is when the load was last logged, and lastForecastLog when forecasts was.
	lastLoadLog, lastForecastLog time.Duration
	// forecasts is what was last logged about predicted run times, for other goroutines.
	forecasts atomic.Pointer[[]cell.Forecast]
	// explaining reports whether a query of Explain is queued for the event loop.
	explaining atomic.Bool
	// resigning is closed once the owner has been asked to release the cell.
	resigning     chan struct{}
	resigningOnce sync.Once
}

// New returns an owner of the cell for which l was acquired.
func New(options Options, l *ledger.Ledger, store ledger.Store, workers Workers, machines Machines, members Members, counters *Counters, log *logrus.Entry) *Owner {
	return &Owner{
		options: options, ledger: l, store: store, workers: workers, machines: machines, members: members, log: log, counters: counters,
		events: ring.New[event](maxQueuedEvents), cell: cell.New(options.CellOptions), sessions: map[string]*workerSession{}, ramp: newWorkerRamp(),
		records: newRecords(options.Cell),
		learned: learnedRows{}, loggedOrganisations: map[string]organisationLog{},
		waves:         waves{planner: upkeep.New(options.UpkeepTime), restored: map[int64]upkeep.Progress{}, status: ring.New[upkeep.Progress](maxQueuedStatuses)},
		newJobReplies: map[string][]func(intake.Reply){}, pendingFinal: map[string]bool{}, commitResults: make(chan error, 1), tenureStart: clock.Now(), resigning: make(chan struct{}), superseded: make(chan struct{}),
	}
}

// Fence returns the fencing token of this owner.
func (o *Owner) Fence() int64 { return o.ledger.Fence() }

// PeakCallDelay returns the longest time that a call has waited for the event loop since
// the last time PeakCallDelay was called.
func (o *Owner) PeakCallDelay() time.Duration { return time.Duration(o.peakCallDelay.Swap(0)) }

// TenureStart returns when the tenure began.
func (o *Owner) TenureStart() time.Duration { return o.tenureStart }

// tryEnqueue queues an event for the event loop. It drops the event and reports false if
// the queue is full.
func (o *Owner) tryEnqueue(e event) bool {
	if err := o.events.TryPut(e); err != nil {
		o.counters.EventsDropped.Add(1)
		return false
	}
	return true
}

// enqueue queues an event for the event loop and waits while the queue is full: the
// outcome of an order must not be lost.
func (o *Owner) enqueue(ctx context.Context, e event) {
	// The context ends with the tenure, and the event with it.
	_ = o.events.Put(ctx, e)
}

// SetCatalogue sets a version of the operator's queues, which applies from the next call and
// the next decision.
func (o *Owner) SetCatalogue(c workload.Catalogue) { o.catalogue.Store(&c) }

// applyCatalogue hands the newest version of the operator's queues to the cell, unless it has
// it.
func (o *Owner) applyCatalogue() {
	if c := o.catalogue.Load(); c != o.appliedCatalogue {
		o.cell.SetCatalogue(*c)
		o.admission.SetWeights(o.cell.Organisations())
		o.appliedCatalogue = c
		if n := o.cell.OrphanedJobCount(); n > 0 {
			o.log.WithFields(logrus.Fields{"version": c.Version, "jobs": n}).Info("scheduler: queues with accepted jobs are not configured any more; the jobs run on")
		}
	}
}

// SetBacklogLimit bounds the memory of the jobs that the cell holds, in bytes, from the next call on;
// 0 is no limit. Every host that may take the cell over must be able to hold them.
func (o *Owner) SetBacklogLimit(bytes int64) { o.backlogLimit.Store(bytes) }

// HandleCall queues the call of a host. If the queue is full the call is dropped without
// a reply: it may repeat an earlier call that took effect, so that a refusal could be
// wrong. The host sends it again.
func (o *Owner) HandleCall(from string, c intake.Call) {
	queuedAt, size := clock.Now(), c.Job.Bytes()
	queued := o.queuedJobBytes.Add(size)
	if limit := o.options.MaxQueuedJobBytes; limit > 0 && queued > limit && queued > size {
		o.queuedJobBytes.Add(-size)
		o.counters.EventsDropped.Add(1)
		return
	}
	if !o.tryEnqueue(func(now time.Duration) {
		o.queuedJobBytes.Add(-size)
		o.handleCall(now, now-queuedAt, from, c)
	}) {
		o.queuedJobBytes.Add(-size)
	}
}

// HandleAdvice processes an answer of the advice service, received through a host.
func (o *Owner) HandleAdvice(from string, a Advice) {
	if a.Fence != o.Fence() {
		return
	}
	received := clock.Now() - a.Age
	o.tryEnqueue(func(now time.Duration) {
		o.adviceDue = true
		if a.Failed == "" {
			o.dispatcher.RecordAnswer(now, from, a.Question)
		} else {
			o.dispatcher.RecordFailure(now, from, a.Question)
			o.log.WithFields(logrus.Fields{"step": a.Question.Step.String(), "host": from, "why": a.Failed}).Warn("scheduler: advice query failed")
		}
		o.cell.HandleAdvice(now, received, a.Question, a.Tickets)
	})
}

// Resign makes Run record the remaining changes, release the cell and return. Further
// calls have no effect.
func (o *Owner) Resign() { o.resigningOnce.Do(func() { close(o.resigning) }) }

// Supersede makes Run return because a later owner has taken the cell. Nothing more is
// recorded, and calls without a reply get none. Further calls have no effect.
func (o *Owner) Supersede() { o.supersededOnce.Do(func() { close(o.superseded) }) }

// Run schedules until the context ends or the cell is lost. The error satisfies
// ledger.ErrNotOwner if another owner has the cell.
func (o *Owner) Run(ctx context.Context, catalogue workload.Catalogue) error {
	ctx, cancel := context.WithCancel(ctx)
	defer o.group.Wait()
	defer cancel()
	// Recovery, a transaction and a resignation may wait for the store for long.
	o.group.Go(func() {
		select {
		case <-o.superseded:
			cancel()
		case <-ctx.Done():
		}
	})
	err := o.run(ctx, catalogue)
	select {
	case <-o.superseded:
		return errors.Annotate(ledger.ErrNotOwner, "a later owner has the cell")
	default:
		return err
	}
}

// run schedules until the context ends or the cell is lost or released.
func (o *Owner) run(ctx context.Context, catalogue workload.Catalogue) error {
	// A newer version may have been set since the given one was read.
	o.catalogue.CompareAndSwap(nil, &catalogue)
	o.applyCatalogue()
	if err := o.recover(ctx); err != nil {
		return errors.Annotate(err, "recovering the cell")
	}
	for _, run := range []func(context.Context){o.watchWorkers, o.runUpkeep, o.writeWaveStatuses} {
		o.group.Add(1)
		go func() {
			defer o.group.Done()
			run(ctx)
		}()
	}
	return o.runEventLoop(ctx)
}

package scheduler

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/advice"
	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/ring"
	"github.com/vanillaquay/vanillaquay/upkeep"
	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// eventRing bounds the events that wait for the decision duty.
	eventRing = 4096
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

// Options say for which cell and under which bounds an owner decides.
type Options struct {
	Cell  string
	Bound cell.Options
	// StatusKept is how long the state of a final job is told.
	StatusKept time.Duration
	// PatienceOfEarlier is how long an earlier owner may give orders after its
	// last renewal.
	PatienceOfEarlier time.Duration
	// Holder names this host to the service of machines.
	Holder string
	// UpkeepTime is how long a machine is down for its upkeep, TurnPause how long
	// after a takeover no machine gets an order.
	UpkeepTime, TurnPause time.Duration
}

// event is something that happened, to be taken by the decision duty.
type event func(now time.Duration)

// Owner decides for a cell. Use New to make one, and Run to let it decide.
type Owner struct {
	options Options
	ledger  *ledger.Ledger
	store   ledger.Store
	workers Workers
	members Members
	// machines is the service of machines.
	machines Machines
	log      *logrus.Entry
	count    *Counters

	events *ring.Ring[event]
	cell   *cell.Cell
	desk   advice.Desk
	// askDue tells that a question may find a host since the last time.
	askDue bool
	duties map[string]*workerDuty
	// attending limits how fast duties begin.
	attending attending
	// attended is the version of the fleet whose workers all have duties.
	attended int
	group    sync.WaitGroup

	// catalogue is a version of the operator's queues that is not in force yet.
	catalogue atomic.Pointer[workload.Catalogue]
	records   *records
	waves     waves
	// fresh holds who waits for the acceptance of jobs that are in no transaction
	// yet.
	fresh map[string][]func(intake.Reply)
	// recording holds the jobs whose first record is in the transaction under way.
	recording map[string]bool
	// pendingFinal holds jobs whose final state is not recorded yet.
	pendingFinal map[string]bool
	// effects wait for the transaction after the one under way.
	effects []func()
	// underway holds the effects of the transaction under way.
	underway   []func()
	committing bool
	committed  chan error
	// commitBegun is when the transaction under way began, commitEnded when the
	// last one succeeded.
	commitBegun time.Duration
	// commitMean is the moving mean of the length of a transaction.
	commitMean time.Duration
	// commitLast is the length of the last transaction.
	commitLast  time.Duration
	commitEnded atomic.Int64
	// underWay is when the transaction under way began, for other duties; 0 is none.
	underWay atomic.Int64
	// lost counts the answers of workers that were lost.
	lost losses
	// fenced is closed once a worker obeys a later owner.
	fenced     chan struct{}
	fencedOnce sync.Once
	// scheduled is when room was last given to what waits.
	scheduled time.Duration
	// behind is the longest that a call has waited since it was last asked for.
	behind atomic.Int64
	// begun is when the tenure began.
	begun time.Duration
	// resigned tells that nothing may be started any more.
	resigned bool
	pruned   time.Duration
	// loadTold is when the load was last logged.
	loadTold time.Duration
	// resigning is closed once the owner is to give the cell up.
	resigning     chan struct{}
	resigningOnce sync.Once
}

// New returns the owner of the cell that a ledger was taken for.
func New(options Options, l *ledger.Ledger, store ledger.Store, workers Workers, machines Machines, members Members, count *Counters, log *logrus.Entry) *Owner {
	return &Owner{
		options: options, ledger: l, store: store, workers: workers, machines: machines, members: members, log: log, count: count,
		events: ring.New[event](eventRing), cell: cell.New(options.Bound), duties: map[string]*workerDuty{}, attending: newAttending(),
		records: newRecords(options.Cell),
		waves:   waves{planner: upkeep.New(options.UpkeepTime), restored: map[int64]upkeep.Progress{}, status: ring.New[upkeep.Progress](statusRing)},
		fresh:   map[string][]func(intake.Reply){}, pendingFinal: map[string]bool{}, committed: make(chan error, 1), begun: clock.Now(), resigning: make(chan struct{}), fenced: make(chan struct{}),
	}
}

// Fence returns the fencing token of the owner.
func (o *Owner) Fence() int64 { return o.ledger.Fence() }

// Behind returns for how long a call has waited at most since the last time that it was
// asked.
func (o *Owner) Behind() time.Duration { return time.Duration(o.behind.Swap(0)) }

// Begun returns when the tenure began.
func (o *Owner) Begun() time.Duration { return o.begun }

// post hands an event to the decision duty, or drops it if it is behind by too
// much.
func (o *Owner) post(e event) bool {
	if err := o.events.TryPut(e); err != nil {
		o.count.EventsDropped.Add(1)
		return false
	}
	return true
}

// deliver hands an event to the decision duty and waits for room: what happened to an
// order must not be lost.
func (o *Owner) deliver(ctx context.Context, e event) {
	// The context ends with the tenure, and the event with it.
	_ = o.events.Put(ctx, e)
}

// SetCatalogue puts a version of the operator's queues in force, with the next
// decision.
func (o *Owner) SetCatalogue(c workload.Catalogue) { o.catalogue.Store(&c) }

// Call takes the call of a host. One for which there is no room is dropped without a
// reply: it may repeat an earlier call that has had an effect, so that to say that it had
// none could be wrong. Its host sends it again.
func (o *Owner) Call(from string, c intake.Call) {
	posted := clock.Now()
	o.post(func(now time.Duration) { o.take(now, now-posted, from, c) })
}

// Advised takes the answer of the advice service through a host.
func (o *Owner) Advised(from string, a Advice) {
	if a.Fence != o.Fence() {
		return
	}
	received := clock.Now() - a.Age
	o.post(func(now time.Duration) {
		o.askDue = true
		if a.Failed == "" {
			o.desk.Answered(now, from, a.Question)
		} else {
			o.desk.Failed(now, from, a.Question)
			o.log.WithFields(logrus.Fields{"step": a.Question.Step.String(), "host": from, "why": a.Failed}).Warn("scheduler: advice failed")
		}
		o.cell.Advised(now, received, a.Question, a.Tickets)
	})
}

// Resign makes Run record what is left, give the cell up and return. A further call
// changes nothing.
func (o *Owner) Resign() { o.resigningOnce.Do(func() { close(o.resigning) }) }

// Run decides until the context ends or the cell is lost. The error satisfies
// ledger.ErrLost if another owner has it.
func (o *Owner) Run(ctx context.Context, catalogue workload.Catalogue) error {
	ctx, cancel := context.WithCancel(ctx)
	defer o.group.Wait()
	defer cancel()
	o.cell.SetCatalogue(catalogue)
	if err := o.recover(ctx); err != nil {
		return errors.Annotate(err, "recovery")
	}
	o.commitEnded.Store(int64(clock.Now()))
	for _, duty := range []func(context.Context){o.watchWorkers, o.tend, o.tellWaves} {
		o.group.Add(1)
		go func() {
			defer o.group.Done()
			duty(ctx)
		}()
	}
	return o.decide(ctx)
}

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
			return errors.Annotate(ledger.ErrLost, "a worker obeys a later owner")
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
	actions, changes, notes := o.cell.Take()
	o.write(notes)
	for _, c := range changes {
		_, earlier := o.records.finished.get(c.Job.ID)
		o.records.add(time.Now().UnixMilli(), c)
		if c.Progress.State.Final() && !earlier {
			o.desk.Drop(c.Job.ID)
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
	for _, l := range actions.Looks {
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
	if !o.askDue || o.desk.Depth() == 0 {
		return
	}
	o.askDue = false
	now := clock.Now()
	for _, a := range o.desk.Assign(now, o.members.Askers()) {
		if !o.members.Ask(a.Host, Question{Fence: o.Fence(), Question: a.Question}) {
			o.desk.Failed(now, a.Host, a.Question)
			o.desk.Add(a.Question)
		}
	}
}

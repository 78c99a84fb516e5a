package scheduler

import (
	"context"
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

// eventRing bounds the events that wait for the decision duty.
const eventRing = 4096

// Options say for which cell and under which bounds an owner decides.
type Options struct {
	Cell        string
	CellOptions cell.Options
	// StatusRetention is how long the state of a final job is told.
	StatusRetention time.Duration
	// EarlierOwnerTimeout is how long an earlier owner may give orders after its
	// last renewal.
	EarlierOwnerTimeout time.Duration
	// Holder names this host to the service of machines.
	Holder string
	// UpkeepTime is how long a machine is down for its upkeep, TurnPause how long
	// after a takeover no machine gets an order.
	UpkeepTime, TakeoverPause time.Duration
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
	desk   advice.Dispatcher
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
		events: ring.New[event](eventRing), cell: cell.New(options.CellOptions), duties: map[string]*workerDuty{}, attending: newAttending(),
		records: newRecords(options.Cell),
		waves:   waves{planner: upkeep.New(options.UpkeepTime), restored: map[int64]upkeep.Progress{}, status: ring.New[upkeep.Progress](statusRing)},
		fresh:   map[string][]func(intake.Reply){}, pendingFinal: map[string]bool{}, committed: make(chan error, 1), begun: clock.Now(), resigning: make(chan struct{}), fenced: make(chan struct{}),
	}
}

// Fence returns the fencing token of the owner.
func (o *Owner) Fence() int64 { return o.ledger.Fence() }

// PeakCallDelay returns for how long a call has waited at most since the last time that it was
// asked.
func (o *Owner) PeakCallDelay() time.Duration { return time.Duration(o.behind.Swap(0)) }

// TenureStart returns when the tenure began.
func (o *Owner) TenureStart() time.Duration { return o.begun }

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

// HandleCall takes the call of a host. One for which there is no room is dropped without a
// reply: it may repeat an earlier call that has had an effect, so that to say that it had
// none could be wrong. Its host sends it again.
func (o *Owner) HandleCall(from string, c intake.Call) {
	posted := clock.Now()
	o.post(func(now time.Duration) { o.take(now, now-posted, from, c) })
}

// HandleAdvice takes the answer of the advice service through a host.
func (o *Owner) HandleAdvice(from string, a Advice) {
	if a.Fence != o.Fence() {
		return
	}
	received := clock.Now() - a.Age
	o.post(func(now time.Duration) {
		o.askDue = true
		if a.Failed == "" {
			o.desk.RecordAnswer(now, from, a.Question)
		} else {
			o.desk.RecordFailure(now, from, a.Question)
			o.log.WithFields(logrus.Fields{"step": a.Question.Step.String(), "host": from, "why": a.Failed}).Warn("scheduler: advice failed")
		}
		o.cell.HandleAdvice(now, received, a.Question, a.Tickets)
	})
}

// Resign makes Run record what is left, give the cell up and return. A further call
// changes nothing.
func (o *Owner) Resign() { o.resigningOnce.Do(func() { close(o.resigning) }) }

// Run decides until the context ends or the cell is lost. The error satisfies
// ledger.ErrNotOwner if another owner has it.
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

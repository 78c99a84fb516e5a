package worker

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/ring"
	"github.com/vanillaquay/vanillaquay/timer"
)

// Pace of a link.
const (
	// LeaseDuration is how long a worker runs attempts after its last answer to
	// the owner of its rack. It exceeds the time of a takeover.
	LeaseDuration = 15 * time.Second
	// LeaseLapseTimeout is the silence after which the leases of a worker have
	// lapsed for certain, whatever the rates of the two clocks.
	LeaseLapseTimeout = LeaseDuration + LeaseDuration/10
	// commandQueueSize is the number of commands that wait for one worker.
	commandQueueSize = 1024
	// maxBatchCommands is the most commands of one batch.
	maxBatchCommands = 128
	// renewInterval is the pause between two renewals of a worker's leases.
	renewInterval = 2 * time.Second
	// startTimeout is how long a start may be under way.
	startTimeout = time.Second
	// retryInterval is the pause after a call that failed.
	retryInterval = 200 * time.Millisecond
)

// Listener is told what happens on a link. Its methods are called from the
// goroutines of the link and may block.
type Listener interface {
	// HandleInventory tells what the worker holds; no event that came before is told
	// after it.
	HandleInventory(l *Link, i Inventory)
	// HandleResult tells how the worker answered a command.
	HandleResult(l *Link, c Command, r Result)
	// HandleUnanswered tells that the worker restarted before it answered a command.
	HandleUnanswered(l *Link, c Command)
	// HandleEvents tells of events, in order.
	HandleEvents(l *Link, events []Event)
	// HandleSilence tells for how long the worker has not answered.
	HandleSilence(l *Link, since time.Duration)
	// HandleFenced tells that the worker obeys another owner.
	HandleFenced(l *Link)
}

// LinkOptions says what a link is for.
type LinkOptions struct {
	// Owner, Epoch and Session are those of Adopt.
	Owner   string
	Epoch   uint64
	Session uint64
	// Address is that of the worker's agent.
	Address string
	// Renewal tells for how long the owner may renew leases now; 0 is not at all,
	// and nothing starts then. It must not block. A nil function always tells
	// LeaseLength.
	Renewal func() time.Duration
}

// Link talks to one worker for the owner of its rack: it adopts the worker,
// sends commands and renewals, and waits for events. Use Open to make one.
type Link struct {
	options  LinkOptions
	listener Listener
	client   *Client
	commands *ring.Ring[queuedCommand]
	// leaving tells that starts are refused instead of sent.
	leaving    atomic.Bool
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	// The fields below belong to the goroutine of run.

	// lastAnswerAt is when the worker last answered with its clock, which was clock.
	lastAnswerAt time.Time
	agentClock   time.Duration
	// leaseEnd is when the leases lapse that were renewed, on the worker's clock.
	leaseEnd time.Duration
	// instance is the agent that was adopted last.
	instance string
	// batch is the latest one; tried tells that it may have arrived and is not
	// answered yet.
	batch        Batch
	batchInDoubt bool
}

// queuedCommand is a command that waits to be sent.
type queuedCommand struct {
	command  Command
	queuedAt time.Time
}

// Open starts a link.
func Open(o LinkOptions, listener Listener) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{
		options: o, listener: listener, client: NewClient(o.Address),
		commands: ring.New[queuedCommand](commandQueueSize), cancel: cancel, lastAnswerAt: time.Now(),
	}
	l.goroutines.Add(1)
	go func() {
		defer l.goroutines.Done()
		l.run(ctx)
	}()
	return l
}

// Cancel makes the link send nothing more, without waiting for its end.
func (l *Link) Cancel() { l.cancel() }

// Close ends the link and waits for its goroutines. The listener must go on
// taking what it is told until then.
func (l *Link) Close() {
	l.cancel()
	l.goroutines.Wait()
}

// Send queues a command, or fails with ring.ErrFull.
func (l *Link) Send(c Command) error {
	return l.commands.TryPut(queuedCommand{command: c, queuedAt: time.Now()})
}

// SetLeaving tells whether the worker takes nothing new. Starts that wait are
// refused from then on.
func (l *Link) SetLeaving(leaving bool) { l.leaving.Store(leaving) }

func (l *Link) run(ctx context.Context) {
	defer l.client.Close()
	for ctx.Err() == nil {
		inventory, err := l.client.Adopt(ctx, Adopt{Owner: l.options.Owner, Epoch: l.options.Epoch, Session: l.options.Session})
		if err != nil {
			l.handleFailure(ctx, err)
			continue
		}
		l.handleInventory(inventory)
		l.runSession(ctx, inventory.Sequence)
	}
}

// handleInventory notes the worker's clock. If the agent has restarted, it is not known
// whether a batch that was not answered took effect.
func (l *Link) handleInventory(i Inventory) {
	if l.batchInDoubt && l.instance != i.Instance {
		for _, c := range l.batch.Commands {
			l.listener.HandleUnanswered(l, c)
		}
		l.batchInDoubt = false
	}
	if l.instance != i.Instance {
		l.leaseEnd = 0
	}
	l.instance = i.Instance
	l.recordClock(i.Clock)
	l.listener.HandleInventory(l, i)
}

// runSession runs until a call fails or the link ends.
func (l *Link) runSession(ctx context.Context, after uint64) {
	session, end := context.WithCancel(ctx)
	defer end()
	var polling sync.WaitGroup
	polling.Add(1)
	go func() {
		defer polling.Done()
		defer end()
		l.pollEvents(session, after, l.instance)
	}()
	err := l.sendLoop(session)
	end()
	polling.Wait()
	if err != nil {
		l.handleFailure(ctx, err)
	}
}

// handleFailure tells the listener that the worker does not answer, and pauses.
func (l *Link) handleFailure(ctx context.Context, err error) {
	switch {
	case ctx.Err() != nil:
		return
	case errors.Is(err, ErrFenced):
		l.listener.HandleFenced(l)
	case !errors.Is(err, ErrRestarted):
		l.listener.HandleSilence(l, time.Since(l.lastAnswerAt))
	}
	timer.Sleep(ctx, retryInterval)
}

// sendLoop sends commands and renewals until a call fails.
func (l *Link) sendLoop(ctx context.Context) error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	if !l.batchInDoubt {
		l.prepareBatch(nil)
	}
	for {
		if err := l.sendBatch(ctx); err != nil {
			return err
		}
		var commands []Command
		select {
		case <-ctx.Done():
			return nil
		case q := <-l.commands.Values():
			commands = l.admit(commands, q)
		case <-ticker.C:
		}
		for len(commands) < maxBatchCommands && l.commands.Depth() > 0 {
			commands = l.admit(commands, <-l.commands.Values())
		}
		l.prepareBatch(commands)
	}
}

// admit adds a command to those to send. A start that waited for too long, or
// whose worker takes nothing new, is refused instead.
func (l *Link) admit(commands []Command, q queuedCommand) []Command {
	switch {
	case q.command.Verb != Start:
	case l.leaving.Load():
		l.listener.HandleResult(l, q.command, Result{Refused: RefusedLeaving})
		return commands
	case time.Since(q.queuedAt) > startTimeout:
		l.listener.HandleResult(l, q.command, Result{Refused: RefusedLate})
		return commands
	}
	return append(commands, q.command)
}

// prepareBatch makes the following batch. Its times count from the worker's last
// answer, so that they never reach further than the worker can know.
func (l *Link) prepareBatch(commands []Command) {
	l.batch = Batch{
		Owner: l.options.Owner, Epoch: l.options.Epoch, Session: l.options.Session,
		Number:   l.batch.Number + 1,
		StartBy:  l.agentClock + time.Since(l.lastAnswerAt) + startTimeout,
		Commands: commands,
	}
}

// sendBatch delivers the current batch.
func (l *Link) sendBatch(ctx context.Context) error {
	l.batch.Instance = l.instance
	l.setLease()
	l.batchInDoubt = true
	results, err := l.client.Send(ctx, l.batch)
	if err != nil {
		return err
	}
	l.batchInDoubt = false
	l.recordClock(results.Clock)
	for i, c := range l.batch.Commands {
		l.listener.HandleResult(l, c, results.Results[i])
	}
	return nil
}

// setLease extends the leases by the current batch, as far as the owner may. Where it
// may not, what runs ends with the leases that it has, and nothing starts.
func (l *Link) setLease() {
	length := LeaseDuration
	if l.options.Renewal != nil {
		length = l.options.Renewal()
	}
	if length > 0 {
		l.leaseEnd = max(l.leaseEnd, l.agentClock+length)
	} else {
		l.batch.StartBy = 0
	}
	l.batch.Until = l.leaseEnd
}

// recordClock notes the clock of an answer that has just come.
func (l *Link) recordClock(clock time.Duration) {
	l.lastAnswerAt, l.agentClock = time.Now(), clock
}

// pollEvents waits for events until a call fails or the agent restarts.
func (l *Link) pollEvents(ctx context.Context, after uint64, instance string) {
	for ctx.Err() == nil {
		events, err := l.client.Events(ctx, after)
		if err != nil || events.Instance != instance {
			return
		}
		if len(events.Events) == 0 {
			continue
		}
		after = events.Events[len(events.Events)-1].Sequence
		l.listener.HandleEvents(l, events.Events)
	}
}

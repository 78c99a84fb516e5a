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

// Timeouts, intervals and limits of a link.
const (
	// LeaseDuration bounds how long a worker goes on running attempts after its
	// last answer to the owner of its rack. It is longer than a takeover.
	LeaseDuration = 15 * time.Second
	// LeaseLapseTimeout is the time without an answer after which the leases of a
	// worker have certainly lapsed. It allows for clocks that run at different
	// rates.
	LeaseLapseTimeout = LeaseDuration + LeaseDuration/10
	// commandQueueSize bounds the number of commands queued for one worker.
	commandQueueSize = 1024
	// maxBatchCommands bounds the number of commands in one batch.
	maxBatchCommands = 128
	// renewInterval is the interval between renewals of a worker's leases.
	renewInterval = 2 * time.Second
	// startTimeout bounds how long a start may be queued, and then how long after
	// its batch was made the agent still accepts it.
	startTimeout = time.Second
	// retryInterval is the delay before a retry after a failed call.
	retryInterval = 200 * time.Millisecond
)

// Listener receives the events of a link. Its methods are called from the
// goroutines of the link and may block.
type Listener interface {
	// HandleInventory receives the worker's inventory after each adoption. Events
	// read before the adoption are never delivered after it.
	HandleInventory(l *Link, i Inventory)
	// HandleResult receives the result of a command.
	HandleResult(l *Link, c Command, r Result)
	// HandleUnanswered receives a command that the worker did not answer before
	// it restarted.
	HandleUnanswered(l *Link, c Command)
	// HandleEvents receives events in order.
	HandleEvents(l *Link, events []Event)
	// HandleSilence receives the time since the worker's last answer.
	HandleSilence(l *Link, since time.Duration)
	// HandleFenced reports that the worker has accepted another owner or session.
	HandleFenced(l *Link)
}

// LinkOptions configures a link.
type LinkOptions struct {
	// Worker is the ID of the worker.
	Worker string
	// Owner, Epoch and Session are sent in Adopt and in every batch.
	Owner   string
	Epoch   uint64
	Session uint64
	// Address is the address of the worker's agent.
	Address string
	// Renewal returns the duration for which the owner may renew leases now; 0
	// means that it may neither renew nor start anything. It must not block. If
	// it is nil, leases are always renewed for LeaseDuration.
	Renewal func() time.Duration
}

// Link connects the owner of a rack to one of its workers: it adopts the worker,
// sends commands and renewals, and polls for events. Use Open to create one.
type Link struct {
	options  LinkOptions
	listener Listener
	client   *Client
	commands *ring.Ring[queuedCommand]
	// leaving reports whether starts are refused instead of sent.
	leaving    atomic.Bool
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	// Only the goroutine of run and those that it waits for access the fields below.

	// lastAnswerAt is when the worker's clock was last received, and agentClock
	// its value.
	lastAnswerAt time.Time
	agentClock   time.Duration
	// leaseEnd is when the renewed leases lapse, on the worker's clock.
	leaseEnd time.Duration
	// instance is that of the agent adopted last.
	instance string
	// batch is the latest batch. batchInDoubt reports whether it may have been
	// delivered but has not been answered.
	batch        Batch
	batchInDoubt bool
}

// queuedCommand is a command waiting to be sent.
type queuedCommand struct {
	command  Command
	queuedAt time.Time
}

// Open starts a link, which adopts the worker in the background.
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

// Cancel stops the link without waiting for its goroutines.
func (l *Link) Cancel() { l.cancel() }

// Close stops the link and waits for its goroutines. The listener must go on
// processing calls until Close returns.
func (l *Link) Close() {
	l.cancel()
	l.goroutines.Wait()
}

// Send queues a command. It returns ring.ErrFull if the queue is full.
func (l *Link) Send(c Command) error {
	return l.commands.TryPut(queuedCommand{command: c, queuedAt: time.Now()})
}

// SetLeaving sets whether starts are refused, queued ones included, because the
// worker is leaving service.
func (l *Link) SetLeaving(leaving bool) { l.leaving.Store(leaving) }

func (l *Link) run(ctx context.Context) {
	defer l.client.Close()
	for ctx.Err() == nil {
		inventory, err := l.client.Adopt(ctx, Adopt{Worker: l.options.Worker, Owner: l.options.Owner, Epoch: l.options.Epoch, Session: l.options.Session})
		if err != nil {
			l.handleFailure(ctx, err)
			continue
		}
		l.handleInventory(inventory)
		l.runSession(ctx, inventory.Sequence)
	}
}

// handleInventory records the worker's clock and instance. If the agent has
// restarted, the commands of an unanswered batch are reported as unanswered: they
// may or may not have taken effect.
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

// runSession sends batches and polls for events until a call fails or the link
// is stopped.
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

// handleFailure reports a failed call to the listener and waits before the retry.
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

// sendLoop sends commands and renewals until a call fails. A batch in doubt is
// sent again first.
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

// admit adds a command to those to send. A start that was queued for longer than
// startTimeout, or whose worker is leaving, is refused instead.
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

// prepareBatch creates the next batch. Its start deadline counts from the worker's
// last answer, so that it never overestimates the worker's clock.
func (l *Link) prepareBatch(commands []Command) {
	l.batch = Batch{
		Owner: l.options.Owner, Epoch: l.options.Epoch, Session: l.options.Session,
		Number:   l.batch.Number + 1,
		StartBy:  l.agentClock + time.Since(l.lastAnswerAt) + startTimeout,
		Commands: commands,
	}
}

// sendBatch delivers the current batch and reports its results to the listener.
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

// setLease sets the lease end of the current batch to the latest that the owner
// may grant. If the owner may not renew, running attempts end when their present
// leases lapse, and the batch starts nothing.
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

// recordClock records the worker's clock from an answer received just now.
func (l *Link) recordClock(clock time.Duration) {
	l.lastAnswerAt, l.agentClock = time.Now(), clock
}

// pollEvents delivers events to the listener until a call fails or the agent
// restarts.
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

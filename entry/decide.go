package entry

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/member"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/ring"
	"github.com/vanillaquay/vanillaquay/task"
)

// Queue size and timing of the duty that decides.
const (
	// eventQueueSize is the capacity of the event queue.
	eventQueueSize = 16384
	// tickInterval is the interval between two ticks of the core, and of the owner of
	// racks.
	tickInterval = 100 * time.Millisecond
)

// input is an item of the event queue: either an event, or a function that inspects the
// core after all earlier events have been applied.
type input struct {
	event   decision.Event
	inspect func(*decision.Core)
}

// decideDuty drives the decision core.
type decideDuty struct {
	host   *Host
	core   *decision.Core
	events *ring.Ring[input]
	// leaseValid is the validity of the lease that the core was last given.
	leaseValid bool
	// queries holds functions that the duty runs, to return its state.
	queries *ring.Ring[func()]
	// pending holds the events of the current step: the one being applied and those
	// that result from its actions.
	pending []decision.Event
}

func newDecideDuty(h *Host) *decideDuty {
	return &decideDuty{
		host: h,
		core: decision.New(decision.Options{
			Region: h.hostSettings.Region, PartitionOf: h.partitionOf, MemoryLimit: limitsOf(h.settings.Limits).WorkBytes,
		}),
		events:     ring.New[input](eventQueueSize),
		leaseValid: true,

		queries: ring.New[func()](queryQueueSize),
	}
}

// put adds an event to the queue and waits while the queue is full.
func (d *decideDuty) put(e decision.Event) { d.enqueue(input{event: e}) }

// tryPut adds an event to the queue, or fails at once if the queue is full.
func (d *decideDuty) tryPut(e decision.Event) error { return d.events.TryPut(input{event: e}) }

// inspect calls f with the core after all events put before.
func (d *decideDuty) inspect(f func(*decision.Core)) { d.enqueue(input{inspect: f}) }

func (d *decideDuty) enqueue(i input) {
	ctx, cancel := context.WithTimeout(context.Background(), enqueueTimeout)
	defer cancel()
	if err := d.events.Put(ctx, i); err != nil {
		d.host.log.Errorf("Decision: event queue full, event dropped: %v.", err)
	}
}

func (d *decideDuty) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case i := <-d.events.Values():
			d.handle(i)
		case query := <-d.queries.Values():
			query()
		case <-ticker.C:
			d.apply(decision.Tick{})
		}
	}
}

func (d *decideDuty) handle(i input) {
	if i.inspect != nil {
		i.inspect(d.core)
		return
	}
	d.apply(i.event)
}

// apply applies an event to the core and executes the resulting actions. The core is
// first given the current validity of the lease, which may lapse between two renewals,
// or while the process is paused.
func (d *decideDuty) apply(e decision.Event) {
	if r, ok := e.(decision.Report); ok {
		d.trace(r.Attempt, r.Rack, r.Worker, "report "+string(r.Status))
	}
	d.pending = d.pending[:0]
	if valid := d.host.lease.ValidFor(0); valid != d.leaseValid {
		d.leaseValid = valid
		d.pending = append(d.pending, decision.LeaseChanged{Valid: valid})
	}
	d.pending = append(d.pending, e)
	for i := 0; i < len(d.pending); i++ {
		for _, a := range d.core.Apply(time.Now(), d.pending[i]) {
			d.execute(a)
		}
	}
}

// trace logs a step of an attempt at debug level, so that a request can be followed by
// its ID.
func (d *decideDuty) trace(id task.AttemptID, rack, worker, what string) {
	if !d.host.log.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	d.host.log.WithFields(logrus.Fields{
		"Team": id.Work.Team, "ID": callerID(id.Work), "Task": id.Task, "Attempt": id.Number, "Rack": rack, "Worker": worker,
	}).Debugf("Decision: %s.", what)
}

func (d *decideDuty) execute(a decision.Action) {
	switch a := a.(type) {
	case decision.Record:
		if !d.host.journals.append(a) {
			d.pending = append(d.pending, decision.RecordFailed{Token: a.Token})
		}
	case decision.Command:
		d.host.metrics.countDecision(a)
		d.trace(a.Attempt, a.Rack, a.Worker, "command "+string(a.Verb))
		if err := d.sendCommand(a); err != nil {
			d.handleUnsent(a, err)
		}
	case decision.Reply:
		d.host.metrics.countAnswer(a.Answer)
		d.host.calls.deliverReply(a)
	case decision.SendSummary:
		d.host.shares.publish(a.Summary)
	}
}

// sendCommand sends a command to the owner of its rack. A start that needs a durable
// record is not sent once the lease has lapsed: another member may have read the record
// as that of an attempt that has not started. The epoch is the one under which this
// host acquired the partition, not the one in the table, so that the rack's owner can
// recognise a command that was sent too late.
func (d *decideDuty) sendCommand(c decision.Command) error {
	if c.Durable && startsAttempt(c.Verb) && !d.host.lease.ValidFor(0) {
		return errors.Annotatef(member.ErrFenced, "start of %s", c.Attempt)
	}
	m := peer.Command{Partition: c.Partition, Epoch: d.host.journals.epoch(c.Partition), Command: c}
	owner := d.host.digests.ownerOf(c.Rack)
	if owner == d.host.name {
		return d.host.racks.tryReceive(d.host.name, m)
	}
	return d.host.hub.Send(owner, peer.KindCommand, m)
}

// startsAttempt reports whether a command may start an attempt.
func startsAttempt(v decision.Verb) bool {
	return v == decision.Place || v == decision.Hold || v == decision.Confirm
}

// handleUnsent reports to the core that an attempt can't have started. If the rack's
// owner could not be reached, the core must not choose the rack again until a new
// digest of it arrives, or it would choose the rack for ever.
func (d *decideDuty) handleUnsent(c decision.Command, cause error) {
	if !startsAttempt(c.Verb) {
		return
	}
	if !errors.Is(cause, member.ErrFenced) {
		d.pending = append(d.pending, decision.RackUnreachable{Rack: c.Rack, UnsentAttempt: c.Attempt})
		d.host.digests.markLost(c.Rack)
	}
	d.pending = append(d.pending, decision.Report{
		Status: decision.Refused, Attempt: c.Attempt, Rack: c.Rack, Reason: "NotSent",
	})
}

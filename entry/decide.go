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

// Pace of the duty that decides.
const (
	// eventQueueSize is the number of events that wait.
	eventQueueSize = 16384
	// tickInterval is the pause between two ticks of the core.
	tickInterval = 100 * time.Millisecond
)

// input is what the duty takes in turn: an event, or a look at the core as the
// events before it have left it.
type input struct {
	event   decision.Event
	inspect func(*decision.Core)
}

// decideDuty drives the decision core.
type decideDuty struct {
	host   *Host
	core   *decision.Core
	events *ring.Ring[input]
	// leaseValid is what the core was last told of the lease.
	leaseValid bool
	// queries are functions that the duty runs, to tell its state.
	queries *ring.Ring[func()]
	// pending holds events that follow from actions at once.
	pending []decision.Event
}

func newDecideDuty(h *Host) *decideDuty {
	return &decideDuty{
		host:       h,
		core:       decision.New(decision.Options{Region: h.hostSettings.Region, PartitionOf: h.partitionOf}),
		events:     ring.New[input](eventQueueSize),
		leaseValid: true,

		queries: ring.New[func()](queryQueueSize),
	}
}

// put hands an event to the duty, waiting for room.
func (d *decideDuty) put(e decision.Event) { d.enqueue(input{event: e}) }

// tryPut hands an event to the duty, or fails at once if there is no room.
func (d *decideDuty) tryPut(e decision.Event) error { return d.events.TryPut(input{event: e}) }

// inspect calls a function with the core after every event that was put before.
func (d *decideDuty) inspect(look func(*decision.Core)) { d.enqueue(input{inspect: look}) }

func (d *decideDuty) enqueue(i input) {
	ctx, cancel := context.WithTimeout(context.Background(), enqueueTimeout)
	defer cancel()
	if err := d.events.Put(ctx, i); err != nil {
		d.host.log.Errorf("Decision: an event was dropped: %v.", err)
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
		case ask := <-d.queries.Values():
			ask()
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

// apply lets the core decide, after it was told whether the lease is valid now: a
// lease may lapse between two renewals, or while the process was paused.
func (d *decideDuty) apply(e decision.Event) {
	if r, ok := e.(decision.Report); ok {
		d.trace(r.Attempt, r.Rack, r.Worker, "report "+string(r.Status))
	}
	d.pending = d.pending[:0]
	if valid := d.host.lease.Valid(0); valid != d.leaseValid {
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

// trace lets a request ID be followed through the log.
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

// sendCommand sends a command to the owner of its rack. What needs a durable record
// is not started once the lease has lapsed: another member may have read the
// record as one of an attempt that has not started. The epoch is that under
// which this host took the partition, not the one in the table, so that the
// owner of the rack can tell a command that was sent too late.
func (d *decideDuty) sendCommand(c decision.Command) error {
	if c.Durable && startsAttempt(c.Verb) && !d.host.lease.Valid(0) {
		return errors.Annotatef(member.ErrFenced, "start of %s", c.Attempt)
	}
	m := peer.Command{Partition: c.Partition, Epoch: d.host.journals.epoch(c.Partition), Command: c}
	owner := d.host.digests.ownerOf(c.Rack)
	if owner == d.host.name {
		return d.host.racks.tryReceive(d.host.name, m)
	}
	return d.host.hub.Send(owner, peer.KindCommand, m)
}

// startsAttempt reports whether an attempt may start because of the command.
func startsAttempt(v decision.Verb) bool {
	return v == decision.Place || v == decision.Hold || v == decision.Confirm
}

// handleUnsent tells the core that an attempt can't have started. The core is not to
// choose a rack again whose owner can't be told, until the rack's digest is
// known anew: it would choose it for ever.
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

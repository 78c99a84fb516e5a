package entry

import (
	"context"
	"time"

	"github.com/vanillaquay/vanillaquay/partition"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/timer"
	"github.com/vanillaquay/vanillaquay/witness"
	"github.com/vanillaquay/vanillaquay/worker"
)

// witnessDuty queries the witnesses of the region about the racks of this host, and
// answers the queries of other members.
type witnessDuty struct {
	host     *Host
	registry witness.Registry
	poll     witness.Poll
}

// run queries the witnesses while the host's lease may lapse soon, or while it is not
// confirmed that the previous owners have stopped.
func (d *witnessDuty) run(ctx context.Context) error {
	timer.Every(ctx, witness.AskInterval, func(now time.Time) {
		epochs := d.host.racks.ownedEpochs()
		if len(epochs) == 0 {
			return
		}
		if !d.host.lease.ValidFor(witness.AnswerLifetime) || d.poll.HasUnconfirmed(epochs) {
			d.ask(now, epochs)
		}
	})
	return nil
}

// ask queries every witness. Errors are ignored: a witness without a connection is
// queried again after witness.AskInterval.
func (d *witnessDuty) ask(now time.Time, epochs map[string]uint64) {
	witnesses := d.witnesses()
	number := d.poll.Ask(now, d.host.name, &d.registry, epochs, witnesses)
	for _, name := range witnesses {
		if name != d.host.name {
			_ = d.host.hub.Send(name, peer.KindEpochs, peer.Epochs{Number: number, Racks: epochs})
		}
	}
	d.markConfirmed()
}

func (d *witnessDuty) witnesses() []string {
	return witness.Select(d.host.hostSettings.Region, d.host.roster.NotGone())
}

// neededLinks returns the witnesses to link to while it is not confirmed that the
// previous owners have stopped. A fenced witness is included, since it may still be
// running and the other witnesses' answers may not suffice.
func (d *witnessDuty) neededLinks() []string {
	if !d.poll.HasUnconfirmed(d.host.racks.ownedEpochs()) {
		return nil
	}
	return d.witnesses()
}

// receiveEpochs answers the query of another member. Racks that the other member owns
// under a higher epoch are released here.
func (d *witnessDuty) receiveEpochs(from string, q peer.Epochs) {
	higher, ok := d.registry.Answer(q.Racks)
	d.releaseSuperseded(q.Racks)
	if ok {
		// If the answer is lost, the query is repeated.
		_ = d.host.hub.Send(from, peer.KindEpochsKnown, peer.EpochsKnown{Number: q.Number, Higher: higher})
	}
}

// receiveAnswer handles the answer of a witness.
func (d *witnessDuty) receiveAnswer(from string, a peer.EpochsKnown) {
	d.registry.RecordEpochs(a.Higher)
	d.poll.HandleAnswer(from, a.Number, a.Higher)
	d.releaseSuperseded(a.Higher)
	d.markConfirmed()
}

// updateRegistry updates the registry from the owner rows last read.
func (d *witnessDuty) updateRegistry() {
	rows := d.host.owners.Epochs(partition.RackPrefix)
	d.registry.RecordOwnerRows(rows)
	d.releaseSuperseded(rows)
}

// releaseSuperseded releases the racks that have an owner under a higher epoch.
func (d *witnessDuty) releaseSuperseded(epochs map[string]uint64) {
	owned := d.host.racks.ownedEpochs()
	for name, epoch := range epochs {
		if held, ok := owned[name]; ok && held < epoch {
			d.host.racks.releaseIfSuperseded(name, epoch)
		}
	}
}

// markConfirmed marks the racks whose previous owners are confirmed to have stopped.
func (d *witnessDuty) markConfirmed() {
	for name, epoch := range d.poll.TakeConfirmed() {
		d.host.racks.put(func(now time.Time) { d.host.racks.owner.MarkPredecessorsStopped(now, name, epoch) })
	}
}

// workerRenewal returns for how long this host may renew worker leases now. If the host
// has no valid lease, worker leases must lapse within worker.LeaseDuration of the last
// query to the witnesses that was answered, which is up to witness.AnswerLifetime ago.
func (h *Host) workerRenewal() time.Duration {
	switch {
	case h.lease.ValidFor(0):
		return worker.LeaseDuration
	case h.witnesses.poll.HasContact(time.Now()):
		return worker.LeaseDuration - witness.AnswerLifetime
	default:
		return 0
	}
}

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

// witnessDuty asks the witnesses of the region about the racks of this host, and
// answers what other members ask.
type witnessDuty struct {
	host     *Host
	registry witness.Registry
	poll     witness.Poll
}

// run asks while the lease may lapse, or while it is not confirmed that the owners
// before have stopped.
func (d *witnessDuty) run(ctx context.Context) error {
	timer.Every(ctx, witness.AskInterval, func(now time.Time) {
		epochs := d.host.racks.ownedEpochs()
		if len(epochs) == 0 {
			return
		}
		if !d.host.lease.Valid(witness.ContactLength) || d.poll.Open(epochs) {
			d.ask(now, epochs)
		}
	})
	return nil
}

// ask asks every witness. Without a connection there is nobody to ask; the next
// question comes soon.
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
	return witness.Of(d.host.hostSettings.Region, d.host.roster.Known())
}

// neededLinks returns the witnesses while it is not confirmed that the owners before have
// stopped. One that was fenced may live, and be what the others wait for.
func (d *witnessDuty) neededLinks() []string {
	if !d.poll.Open(d.host.racks.ownedEpochs()) {
		return nil
	}
	return d.witnesses()
}

// receiveEpochs answers another member. If it owns a rack of this host under a higher
// epoch, this host has been replaced there.
func (d *witnessDuty) receiveEpochs(from string, q peer.Epochs) {
	higher, ok := d.registry.Answer(q.Racks)
	d.releaseSuperseded(q.Racks)
	if ok {
		// An answer that is lost is asked for again.
		_ = d.host.hub.Send(from, peer.KindEpochsKnown, peer.EpochsKnown{Number: q.Number, Higher: higher})
	}
}

// receiveAnswer takes the answer of a witness.
func (d *witnessDuty) receiveAnswer(from string, a peer.EpochsKnown) {
	d.registry.Note(a.Higher)
	d.poll.Heard(from, a.Number, a.Higher)
	d.releaseSuperseded(a.Higher)
	d.markConfirmed()
}

// updateRegistry takes the owner rows as they were read.
func (d *witnessDuty) updateRegistry() {
	rows := d.host.owners.Epochs(partition.RackPrefix)
	d.registry.Read(rows)
	d.releaseSuperseded(rows)
}

// releaseSuperseded gives up the racks that have an owner under a higher epoch.
func (d *witnessDuty) releaseSuperseded(epochs map[string]uint64) {
	own := d.host.racks.ownedEpochs()
	for name, epoch := range epochs {
		if held, ok := own[name]; ok && held < epoch {
			d.host.racks.releaseIfSuperseded(name, epoch)
		}
	}
}

// markConfirmed notes the racks whose owners before have stopped.
func (d *witnessDuty) markConfirmed() {
	for name, epoch := range d.poll.Confirmed() {
		d.host.racks.put(func(now time.Time) { d.host.racks.owner.MarkPredecessorsStopped(now, name, epoch) })
	}
}

// workerRenewal tells for how long this host may renew the leases of workers. Without a
// lease of its own these must lapse by the time at which they would have if the
// last question that was answered had renewed them.
func (h *Host) workerRenewal() time.Duration {
	switch {
	case h.lease.Valid(0):
		return worker.LeaseLength
	case h.witnesses.poll.Contact(time.Now()):
		return worker.LeaseLength - witness.ContactLength
	default:
		return 0
	}
}

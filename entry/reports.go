package entry

import (
	"time"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/partition"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/worker"
)

// Open implements rackowner.Port.
func (d *rackDuty) Open(rackName string, epoch uint64, h tablestore.Host) {
	d.links.open(rackName, epoch, h)
}

// Close implements rackowner.Port.
func (d *rackDuty) Close(rackName, id string) {
	d.links.close(workerName{rack: rackName, worker: id})
}

// Send implements rackowner.Port.
func (d *rackDuty) Send(rackName, id string, c worker.Command) error {
	return d.links.send(workerName{rack: rackName, worker: id}, c)
}

// SetLeaving implements rackowner.Port.
func (d *rackDuty) SetLeaving(rackName, id string, leaving bool) {
	if l, ok := d.links.links[workerName{rack: rackName, worker: id}]; ok {
		l.SetLeaving(leaving)
	}
}

// PublishDigest implements rackowner.Port.
func (d *rackDuty) PublishDigest(digest rack.Digest) { d.host.digests.publish(digest) }

// Report implements rackowner.Port.
func (d *rackDuty) Report(r decision.Report) {
	to := d.host.deciderOf(r.Attempt.Work)
	switch {
	case to == d.host.name:
		d.host.receiveReport(to, r)
	case to == "":
		d.forgetOrphan(r)
	default:
		if err := d.host.hub.Send(to, peer.KindReport, r); err != nil {
			d.host.log.Debugf("Rack: report not sent: %v.", err)
		}
	}
}

// Usage implements rackowner.Port.
func (d *rackDuty) Usage(u decision.Usage) {
	to := d.host.deciderOf(u.Attempt.Work)
	switch to {
	case "":
	case d.host.name:
		d.host.receiveUsage(to, u)
	default:
		if err := d.host.hub.Send(to, peer.KindUsage, u); err != nil {
			d.host.log.Debugf("Rack: usage not sent: %v.", err)
		}
	}
}

// forgetOrphan forgets the ended attempt of work that a member ran on its own. No one
// will ask for its result, since the member has left.
func (d *rackDuty) forgetOrphan(r decision.Report) {
	if _, local := localMember(r.Attempt.Work); !local || r.Status != decision.Ended {
		return
	}
	forget := peer.Command{Command: decision.Command{Verb: decision.Forget, Attempt: r.Attempt, Rack: r.Rack, Worker: r.Worker}}
	go d.put(func(now time.Time) { d.owner.HandleCommand(now, d.host.name, forget) })
}

// deciderOf returns the member that decides about the work, or "" if none is known.
func (h *Host) deciderOf(k task.Key) string {
	if member, local := localMember(k); local {
		if m, known := h.roster.Lookup(member); known && m.State != "Gone" {
			return member
		}
		return ""
	}
	name := h.partitionOf(k)
	claim := h.owners.Claim(partition.PartitionPrefix + name)
	if claim.Owner != "" && h.claims.Observe(name, claim.Owner, claim.Epoch) {
		return claim.Owner
	}
	return h.claims.Owner(name)
}

// receiveReport passes a report to the core if this host decides about the work; a core
// that does not know the work would order the attempt to be forgotten. A report under
// an older claim on the rack is dropped, since the rack's next owner may know better.
func (h *Host) receiveReport(_ string, r decision.Report) {
	if !h.decides(r.Attempt.Work) {
		return
	}
	if r.Epoch > 0 && r.Epoch < h.owners.Claim(partition.RackPrefix+r.Rack).Epoch {
		return
	}
	h.decide.put(r)
}

// receiveUsage passes a usage to the core if this host decides about the work.
func (h *Host) receiveUsage(_ string, u decision.Usage) {
	if h.decides(u.Attempt.Work) {
		h.decide.put(u)
	}
}

// decides reports whether this host decides about the work.
func (h *Host) decides(k task.Key) bool {
	if member, local := localMember(k); local {
		return member == h.name
	}
	return h.journals.owns(h.partitionOf(k))
}

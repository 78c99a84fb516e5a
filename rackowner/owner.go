package rackowner

import (
	"time"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/worker"
)

// Bounds of an Owner.
const (
	// HoldTimeout is how long room is kept for an all-at-once job.
	HoldTimeout = 10 * time.Second
	// RefusalRetention is how long a refused attempt is remembered; it exceeds the
	// time that a command can be under way.
	RefusalRetention = time.Minute
	// RepeatInterval is the pause before an end that nobody has acknowledged
	// is reported again; it doubles up to RepeatLimit.
	RepeatInterval    = 500 * time.Millisecond
	MaxRepeatInterval = 8 * time.Second
	// RestartDoubtAge is the age of an agent under which it may have restarted
	// unnoticed, if nothing is known of the instance before.
	RestartDoubtAge = 2 * time.Minute
	// MaxRetainedRefusals is the most refused attempts that one rack remembers. Above
	// it, no attempt is reported as refused for good.
	MaxRetainedRefusals = 100_000
	// MaxPendingEnds is the most ends, and MaxEndedBytes the most bytes of their
	// bodies, that one rack remembers. Above them it takes nothing new.
	MaxPendingEnds     = 20_000
	MaxPendingEndBytes = 64 << 20
)

// Reasons why an owner refuses an attempt, besides those of package rack.
const (
	// ReasonLeaving tells that the worker takes nothing new.
	ReasonLeaving = "Leaving"
	// ReasonBacklog tells that too many ends wait to be acknowledged.
	ReasonBacklog = "Backlog"
	// ReasonExpired tells that held room was not confirmed in time.
	ReasonExpired = "HoldExpired"
	// ReasonWithdrawn tells that the attempt was withdrawn before it started.
	ReasonWithdrawn = "Withdrawn"
	// ReasonPaused tells that the owner does not know yet which workers began to
	// leave while its process was paused.
	ReasonPaused = "Paused"
)

// Counts tells what an owner has met that should not happen.
type Counts struct {
	// StaleCommands counts commands under an older claim on their partition.
	StaleCommands int
	// InvalidEvents counts events that can't be true.
	InvalidEvents int
	// LostAttempts counts attempts whose worker is gone.
	LostAttempts int
}

// Owner decides for the racks that it was given. Use New to make one. It is not
// safe for concurrent use.
type Owner struct {
	port   Port
	claims *Claims
	racks  map[string]*ownedRack
	list   list
	pause  pause
	// seen holds the latest digest of each rack, of whatever owner.
	seen   map[string]rack.Digest
	counts Counts
}

// New returns an owner without racks. It learns which claims on partitions are
// the latest from claims, which others may fill too.
func New(port Port, claims *Claims) *Owner {
	return &Owner{port: port, claims: claims, racks: map[string]*ownedRack{}, seen: map[string]rack.Digest{}}
}

// Counts returns what was met so far.
func (o *Owner) Counts() Counts { return o.counts }

// Claim begins to decide for a rack under an epoch, after an owner that may have
// decided under the one before.
func (o *Owner) Claim(now time.Time, name string, epoch uint64) {
	o.ClaimAfter(now, name, epoch, epoch-min(epoch, 1))
}

// ClaimAfter begins to decide for a rack under an epoch. Before is the highest epoch
// under which another may have decided; 0 is none. Under those between the two nobody
// did: who was to own the rack passed it on.
func (o *Owner) ClaimAfter(now time.Time, name string, epoch, before uint64) {
	o.Release(name)
	region, zone := o.list.placeOf(name)
	r := newOwnedRack(name, region, zone, epoch)
	r.decided = before
	o.racks[name] = r
	o.relist(now, r)
	r.complete = before == 0
	r.tellPartial()
	o.inherit(now, r)
}

// inherit learns from the last digest of the owner before which workers the rack
// had.
func (o *Owner) inherit(now time.Time, r *ownedRack) {
	before := o.seen[r.name]
	if before.Epoch >= r.rack.Epoch() {
		return
	}
	r.complete = r.complete || before.Epoch == r.decided && !before.Partial
	r.tellPartial()
	for _, w := range before.Workers {
		o.expect(now, r, w.ID)
		r.heardBefore(w)
	}
	r.inheritDoubt(before)
}

// MarkPredecessorsStopped notes that nobody who owned a rack before an epoch renews leases of its
// workers any more: those that were renewed lapse within worker.LapseLength.
func (o *Owner) MarkPredecessorsStopped(now time.Time, name string, epoch uint64) {
	if r, ok := o.racks[name]; ok && r.rack.Epoch() == epoch && r.alone.IsZero() {
		r.alone = now
	}
}

// ReleaseIfSuperseded gives a rack up if it has an owner under a higher epoch, and reports
// whether it did.
func (o *Owner) ReleaseIfSuperseded(name string, epoch uint64) bool {
	r, ok := o.racks[name]
	if !ok || epoch <= r.rack.Epoch() {
		return false
	}
	r.step("Lost")
	o.Release(name)
	return true
}

// Release stops deciding for a rack; nothing more is sent to its workers.
func (o *Owner) Release(name string) {
	r, ok := o.racks[name]
	if !ok {
		return
	}
	r.step("Release")
	delete(o.racks, name)
	o.seen[name] = r.rack.Digest()
	for id := range r.workers {
		o.port.Close(name, id)
	}
}

// HandleDigest takes the digest of another member. It gives the rack up if that shows a
// higher epoch than that of this host, and reports whether it did.
func (o *Owner) HandleDigest(now time.Time, d rack.Digest) bool {
	if d.Newer(o.seen[d.Rack]) {
		o.seen[d.Rack] = d
	}
	r, ok := o.racks[d.Rack]
	if !ok {
		return false
	}
	if d.Epoch <= r.rack.Epoch() {
		o.inherit(now, r)
		return false
	}
	r.step("Lost")
	o.Release(d.Rack)
	o.seen[d.Rack] = d
	return true
}

// PublishDigests tells the digests that have changed since the last call.
func (o *Owner) PublishDigests() {
	for _, r := range o.racks {
		if r.rack.Sequence() == r.told {
			continue
		}
		r.told = r.rack.Sequence()
		o.port.PublishDigest(r.rack.Digest())
	}
}

// Tick gives held room back in time, repeats reports of ends, and drops workers
// that are gone.
func (o *Owner) Tick(now time.Time) {
	for _, r := range o.racks {
		r.forgetRefused(now)
		for id, p := range r.attempts {
			switch {
			case p.status == decision.Held && now.After(p.expires):
				o.giveBack(r, id, ReasonExpired)
			case p.status == decision.Ended && now.After(p.repeat):
				o.repeatEnd(now, r, id, p)
			}
		}
		o.dropGone(now, r)
		o.settled(now, r)
	}
}

// UpdateWorkers takes the platform's list of workers and those that operators drain.
func (o *Owner) UpdateWorkers(now time.Time, hosts []tablestore.Host, drained map[string]bool) {
	o.list.update(now, hosts, drained)
	for _, r := range o.racks {
		o.relist(now, r)
	}
}

// sendIf sends a command to a worker, if there is one. Whoever asked for it asks
// again if it is lost.
func (o *Owner) sendIf(r *ownedRack, id string, c worker.Command) {
	if r.workers[id] == nil {
		return
	}
	// A full queue counts as a lost command.
	_ = o.port.Send(r.name, id, c)
}

package rackowner

import (
	"time"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/worker"
)

// Limits and intervals of an Owner.
const (
	// HoldTimeout is how long capacity is held for an all-at-once job.
	HoldTimeout = 10 * time.Second
	// RefusalRetention is how long a refusal is retained; it exceeds the time that a
	// command can be in flight.
	RefusalRetention = time.Minute
	// RepeatInterval is the delay before an unacknowledged end is reported again; it
	// doubles up to MaxRepeatInterval.
	RepeatInterval    = 500 * time.Millisecond
	MaxRepeatInterval = 8 * time.Second
	// RestartDoubtAge is the uptime up to which an agent may have restarted unnoticed, if
	// its previous instance is not known.
	RestartDoubtAge = 2 * time.Minute
	// MaxRetainedRefusals bounds the refusals that one rack retains. At the limit, unknown
	// attempts are no longer reported as refused.
	MaxRetainedRefusals = 100_000
	// MaxPendingEnds bounds the unacknowledged ends of one rack, and MaxPendingEndBytes
	// the bytes of their bodies. At either limit the rack refuses new attempts.
	MaxPendingEnds     = 20_000
	MaxPendingEndBytes = 64 << 20
)

// Reasons why an owner refuses an attempt, in addition to those of package rack.
const (
	// ReasonLeaving means that the worker accepts no new attempts.
	ReasonLeaving = "Leaving"
	// ReasonBacklog means that too many ends are unacknowledged.
	ReasonBacklog = "Backlog"
	// ReasonExpired means that a hold was not confirmed within HoldTimeout.
	ReasonExpired = "HoldExpired"
	// ReasonWithdrawn means that the attempt was withdrawn before it started.
	ReasonWithdrawn = "Withdrawn"
	// ReasonPaused means that the owner does not know yet which workers began to leave
	// while its process was paused.
	ReasonPaused = "Paused"
)

// Counts holds the numbers of faults that an owner has met.
type Counts struct {
	// StaleCommands counts commands under an outdated claim on their partition.
	StaleCommands int
	// InvalidEvents counts events and inventory entries that contradict known placements.
	InvalidEvents int
	// LostAttempts counts attempts whose worker restarted or whose leases lapsed.
	LostAttempts int
}

// Owner makes the decisions for the racks that it has claimed. Use New to make one. It is
// not safe for concurrent use.
type Owner struct {
	port       Port
	claims     *Claims
	racks      map[string]*ownedRack
	workerList workerList
	pause      pauseGuard
	// latestDigests holds the latest digest of each rack, whichever member owned it.
	latestDigests map[string]rack.Digest
	counts        Counts
}

// New returns an owner without racks. It looks up the latest claims on partitions in
// claims, which others may update too.
func New(port Port, claims *Claims) *Owner {
	return &Owner{port: port, claims: claims, racks: map[string]*ownedRack{}, latestDigests: map[string]rack.Digest{}}
}

// Counts returns the numbers of faults so far.
func (o *Owner) Counts() Counts { return o.counts }

// Claim begins to own a rack under an epoch. An earlier owner may have decided under the
// epoch before it.
func (o *Owner) Claim(now time.Time, name string, epoch uint64) {
	o.ClaimAfter(now, name, epoch, epoch-min(epoch, 1))
}

// ClaimAfter begins to own a rack under an epoch. The highest epoch under which another
// owner may have decided is predecessorEpoch; 0 means none. Nobody decided under the epochs
// in between: their owners transferred the rack unused.
func (o *Owner) ClaimAfter(now time.Time, name string, epoch, predecessorEpoch uint64) {
	o.Release(name)
	region, zone := o.workerList.location(name)
	r := newOwnedRack(name, region, zone, epoch)
	r.predecessorEpoch = predecessorEpoch
	o.racks[name] = r
	o.refreshWorkers(now, r)
	r.workersComplete = predecessorEpoch == 0
	r.updateDigestPartial()
	o.inheritDigest(now, r)
}

// inheritDigest adopts the workers and the doubt from the last digest of an earlier owner.
func (o *Owner) inheritDigest(now time.Time, r *ownedRack) {
	digest := o.latestDigests[r.name]
	if digest.Epoch >= r.rack.Epoch() {
		return
	}
	r.workersComplete = r.workersComplete || digest.Epoch == r.predecessorEpoch && !digest.Partial
	r.updateDigestPartial()
	for _, w := range digest.Workers {
		o.expectUnlisted(now, r, w.ID)
		r.recordPreviousInstance(w)
	}
	r.inheritDoubt(digest)
}

// MarkPredecessorsStopped records that no owner before the given epoch renews leases of
// the rack's workers any more: the leases lapse within worker.LeaseLapseTimeout.
func (o *Owner) MarkPredecessorsStopped(now time.Time, name string, epoch uint64) {
	if r, ok := o.racks[name]; ok && r.rack.Epoch() == epoch && r.renewalsStoppedAt.IsZero() {
		r.renewalsStoppedAt = now
	}
}

// ReleaseIfSuperseded releases a rack if epoch is higher than its own, and reports whether
// it did.
func (o *Owner) ReleaseIfSuperseded(name string, epoch uint64) bool {
	r, ok := o.racks[name]
	if !ok || epoch <= r.rack.Epoch() {
		return false
	}
	r.applyEvent("Lost")
	o.Release(name)
	return true
}

// Release stops owning a rack; nothing more is sent to its workers.
func (o *Owner) Release(name string) {
	r, ok := o.racks[name]
	if !ok {
		return
	}
	r.applyEvent("Release")
	delete(o.racks, name)
	o.latestDigests[name] = r.rack.Digest()
	for id := range r.workers {
		o.port.Close(name, id)
	}
}

// HandleDigest processes the digest of another member. It releases the rack if the digest
// has a higher epoch than this host's claim, and reports whether it did.
func (o *Owner) HandleDigest(now time.Time, d rack.Digest) bool {
	if d.Newer(o.latestDigests[d.Rack]) {
		o.latestDigests[d.Rack] = d
	}
	r, ok := o.racks[d.Rack]
	if !ok {
		return false
	}
	if d.Epoch <= r.rack.Epoch() {
		o.inheritDigest(now, r)
		return false
	}
	r.applyEvent("Lost")
	o.Release(d.Rack)
	o.latestDigests[d.Rack] = d
	return true
}

// PublishDigests publishes the digests that have changed since the last call.
func (o *Owner) PublishDigests() {
	for _, r := range o.racks {
		if r.rack.Sequence() == r.publishedSequence {
			continue
		}
		r.publishedSequence = r.rack.Sequence()
		o.port.PublishDigest(r.rack.Digest())
	}
}

// Tick releases expired holds and refusals, repeats unacknowledged ends, ends stranded
// attempts whose leases have lapsed, and removes unlisted workers that run nothing.
func (o *Owner) Tick(now time.Time) {
	for _, r := range o.racks {
		r.expireRefusals(now)
		for id, p := range r.attempts {
			switch {
			case p.status == decision.Held && now.After(p.holdExpiresAt):
				o.releaseAndRefuse(r, id, ReasonExpired)
			case p.status == decision.Ended && now.After(p.repeatAt):
				o.repeatEnd(now, r, id, p)
			case p.isStranded() && now.After(p.strandedUntil):
				o.recordLost(now, r, id, p)
			}
		}
		o.removeUnlisted(now, r)
		o.canRuleOutUnknown(now, r)
	}
}

// UpdateWorkers applies the platform's list of workers and the set that operators drain.
func (o *Owner) UpdateWorkers(now time.Time, hosts []tablestore.Host, drained map[string]bool) {
	o.workerList.update(now, hosts, drained)
	for _, r := range o.racks {
		o.refreshWorkers(now, r)
	}
}

// sendIfPresent sends a command to a worker if the rack has it. If the command is lost,
// its originator sends it again.
func (o *Owner) sendIfPresent(r *ownedRack, id string, c worker.Command) {
	if r.workers[id] == nil {
		return
	}
	// A full queue counts as a lost command.
	_ = o.port.Send(r.name, id, c)
}

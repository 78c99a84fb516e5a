package rackowner

import (
	"time"

	"github.com/vanillaquay/vanillaquay/chart"
	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/worker"
)

var rackChart = chart.MustLoad("Rack")

// ownedRack is a rack that this host owns, with its attempts.
type ownedRack struct {
	name string
	// state is a state of the chart Rack.
	state   chart.State
	rack    *rack.Rack
	workers map[string]*ownedWorker
	// attempts holds every attempt from its reservation until its end is acknowledged.
	attempts map[task.AttemptID]*placement
	// refusedUntil holds the attempts that must not start, with the end of their
	// retention.
	refusedUntil map[task.AttemptID]time.Time
	// workersComplete reports whether workers includes all that an earlier owner had:
	// there was none, or its last digest was received and was not partial, or the worker
	// list has been known for longer than a lease.
	workersComplete bool
	// predecessorEpoch is the highest epoch under which an earlier owner may have decided;
	// 0 means none.
	predecessorEpoch uint64
	// renewalsStoppedAt is the time since which no earlier owner renews leases of the
	// workers; zero if not known.
	renewalsStoppedAt time.Time
	// previousInstances holds, by worker, the agent instance that the digests of earlier
	// owners name.
	previousInstances map[string]uint64
	// doubtBelow is the epoch below which attempts may have run unknown to this owner; it
	// never decreases. 0 means no doubt.
	doubtBelow uint64
	// predecessorDigest is the last digest of the previous owner. Its doubt applies until
	// a later digest of that owner replaces it.
	predecessorDigest rack.Digest
	// onlyRecordCount counts the placements with onlyRecord set.
	onlyRecordCount int
	// publishedSequence is the sequence of the last published digest.
	publishedSequence uint64
	// pendingEndCount and pendingEndBytes are the number and the body bytes of the
	// unacknowledged ends.
	pendingEndCount, pendingEndBytes int
}

// ownedWorker is one worker of an owned rack.
type ownedWorker struct {
	address string
	leaving bool
	// inventoryKnown reports whether the worker's inventory under this epoch is current.
	inventoryKnown bool
	// lastInstance is the agent contacted last, and firstInstance the one contacted first
	// under this epoch; 0 means none.
	lastInstance, firstInstance uint64
	// firstPastDoubtAge reports whether the first agent had been up for longer than
	// RestartDoubtAge.
	firstPastDoubtAge bool
	// leasesLapsed reports whether the worker's leases have lapsed since its last
	// inventory.
	leasesLapsed bool
	// expectedSince is when an unlisted worker was found in the digest of an earlier
	// owner; zero for other workers.
	expectedSince time.Time
	// unlistedSince is when the worker was first found missing from the list; zero if
	// listed.
	unlistedSince time.Time
	capacity      task.Size
}

// placement is one attempt in a rack.
type placement struct {
	// status is the last reported status; empty while a start awaits the worker's answer.
	status  decision.Status
	worker  string
	size    task.Size
	outcome task.Outcome
	body    []byte
	used    task.Size
	// onlyRecord reports whether no worker retains the end.
	onlyRecord bool
	// unconfirmedEnd is an end that the worker sent before it confirmed the start.
	unconfirmedEnd *attemptEnd
	// strandedUntil is when the leases of the agent that has the attempt, strandedOn, have
	// certainly lapsed, if the worker has been given another address since; zero if not.
	strandedUntil time.Time
	strandedOn    uint64
	// holdExpiresAt is when an unconfirmed hold is released.
	holdExpiresAt time.Time
	// repeatAt is when the end is next reported, repeatInterval after the last report.
	repeatAt       time.Time
	repeatInterval time.Duration
}

// isStranded reports whether the attempt may run on an agent that can't be contacted any more.
func (p *placement) isStranded() bool { return !p.strandedUntil.IsZero() }

// isElsewhere reports whether an attempt is on another worker than the given one, or on another
// agent than the one that the worker last had.
func (r *ownedRack) isElsewhere(p *placement, id string) bool {
	return p.worker != id || p.isStranded() && p.strandedOn != r.workers[id].lastInstance
}

// strand marks the attempts that a worker's agent may run when the worker is given another
// address. Until the same agent answers there, nothing is known of them but that they end with
// their leases.
func (r *ownedRack) strand(now time.Time, id string, m *ownedWorker) {
	for _, p := range r.attempts {
		if p.worker == id && (p.status == "" || p.status == decision.Placed) && !p.isStranded() {
			p.strandedUntil, p.strandedOn = now.Add(worker.LeaseLapseTimeout), m.lastInstance
		}
	}
}

// attemptEnd is the result of an attempt.
type attemptEnd struct {
	outcome task.Outcome
	body    []byte
	used    task.Size
}

func newOwnedRack(name, region, zone string, epoch uint64) *ownedRack {
	r := &ownedRack{
		name: name, state: rackChart.Initial(), rack: rack.New(name, region, zone, epoch),
		workers: map[string]*ownedWorker{}, attempts: map[task.AttemptID]*placement{},
		refusedUntil: map[task.AttemptID]time.Time{}, previousInstances: map[string]uint64{},
	}
	r.applyEvent("Claimed")
	return r
}

// applyEvent moves the rack along the chart. An event that the current state does not
// accept has no effect.
func (r *ownedRack) applyEvent(e chart.Event) {
	if next, err := rackChart.Next(r.state, e); err == nil {
		r.state = next
	}
}

// canRuleOutUnknown updates the state of the rack and reports whether an attempt without a
// placement can't be running on any of its workers. At MaxRetainedRefusals it reports
// false.
func (o *Owner) canRuleOutUnknown(now time.Time, r *ownedRack) bool {
	event := chart.Event("Changed")
	if o.allInventoriesKnown(now, r) {
		event = "Synced"
	}
	r.applyEvent(event)
	return r.state == "Owned" && len(r.refusedUntil) < MaxRetainedRefusals
}

// allInventoriesKnown reports whether the attempts are known of every worker that the rack
// has or may have had under an earlier owner.
func (o *Owner) allInventoriesKnown(now time.Time, r *ownedRack) bool {
	if !r.workersComplete && o.workerList.isComplete(now) {
		r.workersComplete = true
		r.updateDigestPartial()
	}
	if !r.workersComplete {
		return false
	}
	for _, m := range r.workers {
		if !m.inventoryKnown && !m.leasesLapsed {
			return false
		}
	}
	return true
}

// predecessorLeasesLapsed reports whether the leases that earlier owners renewed have
// lapsed. They can't renew leases of a worker that this owner has adopted.
func (r *ownedRack) predecessorLeasesLapsed(now time.Time) bool {
	return r.predecessorEpoch == 0 || !r.renewalsStoppedAt.IsZero() && now.Sub(r.renewalsStoppedAt) > worker.LeaseLapseTimeout
}

// updateDigestPartial sets in the digest whether the rack may have workers unknown to this
// owner.
func (r *ownedRack) updateDigestPartial() { r.rack.SetPartial(!r.workersComplete) }

func (r *ownedRack) expireRefusals(now time.Time) {
	for id, until := range r.refusedUntil {
		if now.After(until) {
			delete(r.refusedUntil, id)
		}
	}
}

func (r *ownedRack) reportOf(id task.AttemptID, p *placement) decision.Report {
	return decision.Report{
		Status: p.status, Attempt: id, Rack: r.name, Worker: p.worker,
		Epoch: r.rack.Epoch(), Sequence: r.rack.Sequence(),
		Outcome: p.outcome, Body: p.body, Used: p.used,
	}
}

// backlogFull reports whether too many ends are unacknowledged.
func (r *ownedRack) backlogFull() bool {
	return r.pendingEndCount >= MaxPendingEnds || r.pendingEndBytes >= MaxPendingEndBytes
}

// removeEnded removes an attempt whose end is acknowledged.
func (r *ownedRack) removeEnded(id task.AttemptID, p *placement) {
	delete(r.attempts, id)
	r.pendingEndCount--
	r.pendingEndBytes -= len(p.body)
	if p.onlyRecord {
		r.onlyRecordCount--
		r.updateDigestDoubt()
	}
}

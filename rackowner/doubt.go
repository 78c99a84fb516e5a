package rackowner

import (
	"github.com/cespare/xxhash/v2"

	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/worker"
)

// An attempt that no worker of a rack holds has never started, unless a worker's agent
// restarted, or its leases lapsed, after the start and before an owner next contacted it.
// In that case the rack is in doubt: attempts may have run that its owner does not know
// of. Digests carry the agent instance that each worker last had, so that a new owner can
// tell whether it is still the same: an agent that has not restarted has forgotten
// nothing. Such a digest may arrive after the worker has been contacted, so the instances
// are compared whenever the result is needed.

// mayHaveRun reports whether an unknown attempt may have started and ended under an
// earlier owner. An attempt can start only under the rack epoch for which it was sent;
// sentEpoch is that epoch, or 0 if it is not known.
func (r *ownedRack) mayHaveRun(sentEpoch uint64) bool {
	r.addDoubtForUncontacted()
	return sentEpoch < r.doubtEpoch()
}

// doubtEpoch returns the epoch below which attempts may have run unknown to this owner, or
// 0 if there is no doubt.
func (r *ownedRack) doubtEpoch() uint64 {
	below := max(r.doubtBelow, r.predecessorDigest.DoubtBelow)
	for id, m := range r.workers {
		if r.mayHaveRestarted(id, m) {
			return max(below, r.predecessorBound())
		}
	}
	return below
}

// mayHaveRestarted reports whether the agent that a worker first had under this epoch may
// differ from the one that earlier owners contacted.
func (r *ownedRack) mayHaveRestarted(id string, m *ownedWorker) bool {
	previous := r.previousInstances[id]
	if m.firstInstance == 0 || m.firstInstance == previous {
		return false
	}
	return previous != 0 || !m.firstPastDoubtAge
}

// recordInstance records the agent that answered. First contact under this epoch after the
// leases have lapsed leaves a permanent doubt.
func (r *ownedRack) recordInstance(m *ownedWorker, i worker.Inventory) {
	m.lastInstance = max(xxhash.Sum64String(i.Instance), 1)
	if m.firstInstance != 0 {
		return
	}
	m.firstInstance, m.firstPastDoubtAge = m.lastInstance, i.Clock > RestartDoubtAge
	if m.leasesLapsed {
		r.addDoubt()
	}
}

// recordPreviousInstance records the agent instance with which earlier owners last had
// contact. The digest repeats it until the worker is contacted under this epoch.
func (r *ownedRack) recordPreviousInstance(w rack.WorkerSummary) {
	if w.Instance == 0 {
		return
	}
	r.previousInstances[w.ID] = w.Instance
	if m := r.workers[w.ID]; m != nil && m.firstInstance == 0 {
		r.rack.SetInstance(w.ID, w.Instance)
	}
}

// inheritDoubt adopts the doubt in the predecessor's digest. A later digest of the same
// predecessor replaces an earlier one, but the doubt of an earlier predecessor remains.
func (r *ownedRack) inheritDoubt(digest rack.Digest) {
	if digest.Epoch != r.predecessorDigest.Epoch {
		r.doubtBelow = max(r.doubtBelow, r.predecessorDigest.DoubtBelow)
	}
	r.predecessorDigest = digest
	r.updateDigestDoubt()
}

// addDoubtForUncontacted adds the doubt about workers whose leases lapsed before they were
// contacted under this epoch.
func (r *ownedRack) addDoubtForUncontacted() {
	for _, m := range r.workers {
		if m.leasesLapsed && m.lastInstance == 0 {
			r.addDoubt()
		}
	}
}

// addDoubtForRemoved keeps the doubt about a worker that is removed from the rack.
func (r *ownedRack) addDoubtForRemoved(id string, m *ownedWorker) {
	if r.mayHaveRestarted(id, m) {
		r.addDoubt()
	}
}

// addDoubt records permanently that attempts sent to earlier owners may have run unknown
// to this one.
func (r *ownedRack) addDoubt() {
	r.doubtBelow = max(r.doubtBelow, r.predecessorBound())
	r.updateDigestDoubt()
}

// predecessorBound returns the epoch below which attempts were sent to earlier owners, or
// 0 if there was none. This owner knows every attempt that was sent to itself.
func (r *ownedRack) predecessorBound() uint64 {
	if r.predecessorEpoch == 0 {
		return 0
	}
	return r.rack.Epoch()
}

// updateDigestDoubt sets the digest's DoubtBelow. It includes this owner's epoch while some
// ends are recorded only here.
func (r *ownedRack) updateDigestDoubt() {
	below := r.doubtEpoch()
	if r.onlyRecordCount > 0 {
		below = r.rack.Epoch() + 1
	}
	r.rack.SetDoubtBelow(below)
}

// markOnlyRecord records that no worker retains an end. Until such an end is acknowledged,
// the digest warns the next owner that it may lack some ends.
func (r *ownedRack) markOnlyRecord(p *placement) {
	if p.onlyRecord {
		return
	}
	p.onlyRecord = true
	r.onlyRecordCount++
	r.updateDigestDoubt()
}

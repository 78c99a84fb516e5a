package rackowner

import (
	"github.com/cespare/xxhash/v2"

	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/worker"
)

// An attempt that no worker of a rack holds has never started, unless the agent of a
// worker restarted, or its leases lapsed, before an owner heard from it that came after
// the start. Owners tell each other in digests which agent they or the owners before
// them have heard: as long as it is the same, it has forgotten nothing. Such a digest may
// come after the agent was heard here, so that the two are compared whenever either is
// needed.

// mayHaveRun reports whether an attempt that is not known here may have started
// under an earlier owner and ended since. Only under the epoch in which its start was
// asked for can an attempt have started; sentUnder is 0 if that is not known.
func (r *ownedRack) mayHaveRun(sentUnder uint64) bool {
	r.doubtUnheard()
	return sentUnder < r.doubted()
}

// doubted returns the epoch under which attempts may have run that nothing here knows
// of; 0 is no doubt.
func (r *ownedRack) doubted() uint64 {
	below := max(r.doubtBelow, r.inherited.DoubtBelow)
	for id, m := range r.workers {
		if r.mayHaveRestarted(id, m) {
			return max(below, r.besideOwn())
		}
	}
	return below
}

// mayHaveRestarted reports whether the agent of a worker that was heard under this epoch
// may be another one than owners before had.
func (r *ownedRack) mayHaveRestarted(id string, m *ownedWorker) bool {
	before := r.before[id]
	if m.first == 0 || m.first == before {
		return false
	}
	return before != 0 || !m.old
}

// noteInstance notes which agent answered. One that is heard for the first time after
// its leases have lapsed leaves a doubt for good.
func (r *ownedRack) noteInstance(m *ownedWorker, i worker.Inventory) {
	m.instance = max(xxhash.Sum64String(i.Instance), 1)
	if m.first != 0 {
		return
	}
	m.first, m.old = m.instance, i.Clock > RestartDoubtAge
	if m.gone {
		r.doubtBefore()
	}
}

// heardBefore notes which agent of a worker owners before have heard. The next owner is
// told of it until the worker is heard under this epoch.
func (r *ownedRack) heardBefore(w rack.WorkerSummary) {
	if w.Instance == 0 {
		return
	}
	r.before[w.ID] = w.Instance
	if m := r.workers[w.ID]; m != nil && m.first == 0 {
		r.rack.SetInstance(w.ID, w.Instance)
	}
}

// inheritDoubt takes the doubt of the owner before. Its later digests replace the
// earlier ones, and what the owner before that one doubted stays.
func (r *ownedRack) inheritDoubt(before rack.Digest) {
	if before.Epoch != r.inherited.Epoch {
		r.doubtBelow = max(r.doubtBelow, r.inherited.DoubtBelow)
	}
	r.inherited = before
	r.tellDoubt()
}

// doubtUnheard notes the doubt about workers that are gone and were not heard
// under this epoch.
func (r *ownedRack) doubtUnheard() {
	for _, m := range r.workers {
		if m.gone && m.instance == 0 {
			r.doubtBefore()
		}
	}
}

// doubtDropped keeps the doubt about a worker that leaves the rack.
func (r *ownedRack) doubtDropped(id string, m *ownedWorker) {
	if r.mayHaveRestarted(id, m) {
		r.doubtBefore()
	}
}

// doubtBefore notes that what was asked of earlier owners may have run unknown to
// this one.
func (r *ownedRack) doubtBefore() {
	r.doubtBelow = max(r.doubtBelow, r.besideOwn())
	r.tellDoubt()
}

// besideOwn returns the epoch below which attempts were asked of earlier owners; 0 if
// there was none. What was asked of this owner, it knows.
func (r *ownedRack) besideOwn() uint64 {
	if r.decided == 0 {
		return 0
	}
	return r.rack.Epoch()
}

// tellDoubt tells the next owner what it will not know. It knows nothing of ends
// that are remembered only here.
func (r *ownedRack) tellDoubt() {
	below := r.doubted()
	if r.lost > 0 {
		below = r.rack.Epoch() + 1
	}
	r.rack.SetDoubtBelow(below)
}

// onlyHere notes that no worker remembers an end. While there is one that nobody
// has acknowledged, the next owner must know that it may miss some.
func (r *ownedRack) onlyHere(p *placement) {
	if p.onlyHere {
		return
	}
	p.onlyHere = true
	r.lost++
	r.tellDoubt()
}

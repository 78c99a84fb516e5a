package tenure

import "time"

const (
	// Renewal is the pause between two renewals of a lease.
	Renewal = 350 * time.Millisecond
	// staleBound is the age of the last renewal at which an owner is taken to be
	// gone or cut off from the store. A store that is 60 times slower than usual
	// still renews every 1.2 s.
	staleBound = 2500 * time.Millisecond
	// staleUnlinked is the same for an owner that can't be reached, whose process
	// has ended most likely: two renewals.
	staleUnlinked = 750 * time.Millisecond
	// storeSilence is how old the last answer of the store may be for the lease to
	// count as stale; it may be the store that is down.
	storeSilence = 1500 * time.Millisecond
	// rankDelay keeps candidates from taking the cell at once: one look at the lease,
	// and the store's answer to the one before.
	rankDelay = 120 * time.Millisecond
	// OwnerPatience is how long an owner gives orders without a renewal.
	OwnerPatience = 5 * time.Second
)

// Watcher is what a host knows of the lease of a cell. Times are on the clock that
// counts suspensions.
type Watcher struct {
	// Owner is "" if nobody has the cell.
	Owner string
	Fence int64
	// Renewed is when a renewal was last seen.
	Renewed time.Duration
	// StoreHeard is when the store last answered, StoreBack since when it answers
	// without a pause.
	StoreHeard, StoreBack time.Duration
	// linked and ready are those of the last WithReach, reachChanged is when either was
	// last another.
	linked, ready bool
	reachChanged  time.Duration
}

// WithReach returns the watcher after a look at whether this host has a connection to the
// owner, and whether it is ready to own the cell itself.
func (w Watcher) WithReach(now time.Duration, linked, ready bool) Watcher {
	if linked != w.linked || ready != w.ready {
		w.linked, w.ready, w.reachChanged = linked, ready, now
	}
	return w
}

// WithLease returns the watcher after a lease was seen.
func (w Watcher) WithLease(now time.Duration, owner string, fence int64) Watcher {
	if fence < w.Fence {
		return w
	}
	w.Owner, w.Fence, w.Renewed = owner, fence, now
	return w
}

// WithStoreHeard returns the watcher after an answer of the store.
func (w Watcher) WithStoreHeard(now time.Duration) Watcher {
	if now-w.StoreHeard > storeSilence {
		w.StoreBack = now
	}
	w.StoreHeard = now
	return w
}

// StoreReturned reports whether the store has come back after a pause since an earlier
// state of the watcher.
func (w Watcher) StoreReturned(earlier Watcher) bool {
	return earlier.StoreHeard != 0 && w.StoreBack != earlier.StoreBack
}

// ShouldTake reports whether a host takes the cell. rank is its place among the
// candidates, linked tells whether it has a connection to the owner, and own that the
// owner is an earlier process of the host itself, which has ended for certain.
func (w Watcher) ShouldTake(now time.Duration, rank int, linked, own bool) bool {
	if w.StoreHeard == 0 || now-w.StoreHeard > storeSilence {
		return false
	}
	// While the store was away nobody could renew.
	age := now - max(w.Renewed, w.StoreBack)
	delay := time.Duration(rank) * rankDelay
	switch {
	case own:
		return true
	case w.Owner == "":
		return age >= delay && w.turn(now, delay)
	case !linked:
		return age >= staleUnlinked+delay && w.turn(now, delay)
	default:
		return age >= staleBound+delay
	}
}

// turn reports whether a host has waited for its place since it saw cause to take the
// cell. All hosts may see it at the same moment, when a lease is old already: as they get
// their first configuration, or miss the third announcement of an owner.
func (w Watcher) turn(now, delay time.Duration) bool { return now-w.reachChanged >= delay }

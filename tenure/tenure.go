package tenure

import "time"

const (
	// RenewalInterval is the pause between two renewals of a lease.
	RenewalInterval = 350 * time.Millisecond
	// staleAge is the age of the last renewal at which an owner is taken to be
	// gone or cut off from the store. A store that is 60 times slower than usual
	// still renews every 1.2 s.
	staleAge = 2500 * time.Millisecond
	// staleAgeUnlinked is the same for an owner that can't be reached, whose process
	// has ended most likely: two renewals.
	staleAgeUnlinked = 750 * time.Millisecond
	// storeTimeout is how old the last answer of the store may be for the lease to
	// count as stale; it may be the store that is down.
	storeTimeout = 1500 * time.Millisecond
	// rankDelay keeps candidates from taking the cell at once: one look at the lease,
	// and the store's answer to the one before.
	rankDelay = 120 * time.Millisecond
	// OwnerTimeout is how long an owner gives orders without a renewal.
	OwnerTimeout = 5 * time.Second
)

// LeaseState is what a host knows of the lease of a cell. Times are on the clock that
// counts suspensions.
type LeaseState struct {
	// Owner is "" if nobody has the cell.
	Owner string
	Fence int64
	// LastRenewal is when a renewal was last seen.
	LastRenewal time.Duration
	// LastStoreReply is when the store last answered, StoreBack since when it answers
	// without a pause.
	LastStoreReply, StoreUpSince time.Duration
	// linked and ready are those of the last WithReach, reachChanged is when either was
	// last another.
	linked, ready  bool
	reachChangedAt time.Duration
}

// WithReachability returns the watcher after a look at whether this host has a connection to the
// owner, and whether it is ready to own the cell itself.
func (w LeaseState) WithReachability(now time.Duration, linked, ready bool) LeaseState {
	if linked != w.linked || ready != w.ready {
		w.linked, w.ready, w.reachChangedAt = linked, ready, now
	}
	return w
}

// WithLease returns the watcher after a lease was seen.
func (w LeaseState) WithLease(now time.Duration, owner string, fence int64) LeaseState {
	if fence < w.Fence {
		return w
	}
	w.Owner, w.Fence, w.LastRenewal = owner, fence, now
	return w
}

// WithStoreReply returns the watcher after an answer of the store.
func (w LeaseState) WithStoreReply(now time.Duration) LeaseState {
	if now-w.LastStoreReply > storeTimeout {
		w.StoreUpSince = now
	}
	w.LastStoreReply = now
	return w
}

// StoreRecovered reports whether the store has come back after a pause since an earlier
// state of the watcher.
func (w LeaseState) StoreRecovered(earlier LeaseState) bool {
	return earlier.LastStoreReply != 0 && w.StoreUpSince != earlier.StoreUpSince
}

// ShouldTakeOver reports whether a host takes the cell. rank is its place among the
// candidates, linked tells whether it has a connection to the owner, and own that the
// owner is an earlier process of the host itself, which has ended for certain.
func (w LeaseState) ShouldTakeOver(now time.Duration, rank int, linked, own bool) bool {
	if w.LastStoreReply == 0 || now-w.LastStoreReply > storeTimeout {
		return false
	}
	// While the store was away nobody could renew.
	age := now - max(w.LastRenewal, w.StoreUpSince)
	delay := time.Duration(rank) * rankDelay
	switch {
	case own:
		return true
	case w.Owner == "":
		return age >= delay && w.rankDelayElapsed(now, delay)
	case !linked:
		return age >= staleAgeUnlinked+delay && w.rankDelayElapsed(now, delay)
	default:
		return age >= staleAge+delay
	}
}

// rankDelayElapsed reports whether a host has waited for its place since it saw cause to take the
// cell. All hosts may see it at the same moment, when a lease is old already: as they get
// their first configuration, or miss the third announcement of an owner.
func (w LeaseState) rankDelayElapsed(now, delay time.Duration) bool {
	return now-w.reachChangedAt >= delay
}

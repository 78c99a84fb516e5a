package tenure

import "time"

const (
	// RenewalInterval is the interval between two renewals of a lease.
	RenewalInterval = 350 * time.Millisecond
	// staleAge is the age of the last renewal from which an owner is presumed dead or cut
	// off from the store. Even if the store is 60 times slower than usual, a lease is
	// renewed every 1.2 s.
	staleAge = 2500 * time.Millisecond
	// staleAgeUnlinked is staleAge for an owner that cannot be reached, whose process has
	// most likely ended. It is slightly longer than two renewal intervals.
	staleAgeUnlinked = 750 * time.Millisecond
	// storeTimeout bounds the age of the store's last reply for a lease to count as stale:
	// after a longer silence it may be the store that is down.
	storeTimeout = 1500 * time.Millisecond
	// rankDelay is the delay per rank that keeps candidates from taking the cell over at
	// once: one poll of the lease, and the store's reply to the candidate before.
	rankDelay = 120 * time.Millisecond
	// OwnerTimeout is how long an owner gives orders without a renewal.
	OwnerTimeout = 5 * time.Second
)

// LeaseState is what a host knows of the lease of a cell. Times are on the clock that
// includes suspensions.
type LeaseState struct {
	// Owner is "" if the cell has no owner.
	Owner string
	Fence int64
	// LastRenewal is when a renewal was last observed.
	LastRenewal time.Duration
	// LastStoreReply is when the store last replied, StoreUpSince since when it has replied
	// without a gap.
	LastStoreReply, StoreUpSince time.Duration
	// linked and ready are the values of the last WithReachability, reachChangedAt is when
	// either last changed.
	linked, ready  bool
	reachChangedAt time.Duration
}

// WithReachability returns the state after a check of whether this host has a link to the
// owner, and whether it is ready to own the cell itself.
func (s LeaseState) WithReachability(now time.Duration, linked, ready bool) LeaseState {
	if linked != s.linked || ready != s.ready {
		s.linked, s.ready, s.reachChangedAt = linked, ready, now
	}
	return s
}

// WithLease returns the state after a lease was read. One with an earlier fencing token is
// ignored.
func (s LeaseState) WithLease(now time.Duration, owner string, fence int64) LeaseState {
	if fence < s.Fence {
		return s
	}
	s.Owner, s.Fence, s.LastRenewal = owner, fence, now
	return s
}

// WithStoreReply returns the state after a reply of the store.
func (s LeaseState) WithStoreReply(now time.Duration) LeaseState {
	if now-s.LastStoreReply > storeTimeout {
		s.StoreUpSince = now
	}
	s.LastStoreReply = now
	return s
}

// StoreRecovered reports whether the store has replied again after a gap since an earlier
// state.
func (s LeaseState) StoreRecovered(earlier LeaseState) bool {
	return earlier.LastStoreReply != 0 && s.StoreUpSince != earlier.StoreUpSince
}

// ShouldTakeOver reports whether this host should take the cell over. rank is its rank
// among the candidates; linked reports whether it has a link to the owner, and
// ownPredecessor whether the owner is an earlier process of this host, which has certainly
// ended.
func (s LeaseState) ShouldTakeOver(now time.Duration, rank int, linked, ownPredecessor bool) bool {
	if s.LastStoreReply == 0 || now-s.LastStoreReply > storeTimeout {
		return false
	}
	// No owner could renew while the store was down.
	age := now - max(s.LastRenewal, s.StoreUpSince)
	delay := time.Duration(rank) * rankDelay
	switch {
	case ownPredecessor:
		return true
	case s.Owner == "":
		return age >= delay && s.rankDelayElapsed(now, delay)
	case !linked:
		return age >= staleAgeUnlinked+delay && s.rankDelayElapsed(now, delay)
	default:
		return age >= staleAge+delay
	}
}

// rankDelayElapsed reports whether a host has waited for its rank's delay since its
// reachability of the owner, or its own readiness, changed. All hosts may find an old lease
// at the same moment: when they get their first configuration, or miss the third
// announcement of an owner.
func (s LeaseState) rankDelayElapsed(now, delay time.Duration) bool {
	return now-s.reachChangedAt >= delay
}

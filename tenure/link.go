package tenure

import "time"

const (
	// AnnounceInterval is the interval between announcements of the owner of a small cell.
	AnnounceInterval = 200 * time.Millisecond
	// maxMissedAnnouncements is the number of missing announcements from which the owner
	// counts as unreachable.
	maxMissedAnnouncements = 3
	// linkSetupGrace bounds the time that the link to a new owner may take to come up.
	linkSetupGrace = 1500 * time.Millisecond
)

// Link records what a host receives from the owner of the cell directly. Times are on the
// clock that includes suspensions. In its zero value nothing has been received.
type Link struct {
	// LastHeard is when the last announcement of the owner arrived.
	LastHeard time.Duration
	// ownerChangedAt is when the owner last changed.
	ownerChangedAt time.Duration
	// announceInterval is the time from the last announcement to the next.
	announceInterval time.Duration
	// stalled reports whether the store is not recording for the owner, according to its
	// last announcement. It is reset when the owner changes.
	stalled bool
}

// WithOwner returns the link after a change of the owner.
func (l Link) WithOwner(now time.Duration) Link {
	l.ownerChangedAt, l.stalled = now, false
	return l
}

// WithAnnouncement returns the link after an announcement of the owner; the next one is due
// after the interval.
func (l Link) WithAnnouncement(now, interval time.Duration, stalled bool) Link {
	l.LastHeard, l.announceInterval, l.stalled = now, interval, stalled
	return l
}

// Reachable reports whether announcements of the owner arrive, or the link to it may still
// be coming up. An owner that the store does not serve counts as unreachable if the store
// responds quickly to this host.
func (l Link) Reachable(now time.Duration, storeResponsive bool) bool {
	if l.stalled && storeResponsive {
		return false
	}
	return now-l.LastHeard < maxMissedAnnouncements*max(AnnounceInterval, l.announceInterval) || now-l.ownerChangedAt < linkSetupGrace
}

package tenure

import "time"

const (
	// AnnounceInterval is the pause between two announcements of the owner of a small
	// cell.
	AnnounceInterval = 200 * time.Millisecond
	// maxMissedAnnouncements is how many announcements may be missing until the owner
	// counts as out of reach.
	maxMissedAnnouncements = 3
	// linkSetupGrace is how long the link to a new owner may take to come up.
	linkSetupGrace = 1500 * time.Millisecond
)

// Link is what a host hears from the owner of a cell itself. Times are on the clock
// that counts suspensions. The zero value has heard nothing.
type Link struct {
	// LastHeard is when the owner was last heard.
	LastHeard time.Duration
	// ownerChangedAt is when the owner was last another one.
	ownerChangedAt time.Duration
	// announceInterval is the pause until the owner's next announcement.
	announceInterval time.Duration
	// stalled tells that the store does not record for the owner, as it says; it holds
	// for this owner only.
	stalled bool
}

// WithOwner returns the link after the cell got another owner.
func (l Link) WithOwner(now time.Duration) Link {
	l.ownerChangedAt, l.stalled = now, false
	return l
}

// WithAnnouncement returns the link after the owner was heard, which announces itself
// again after the interval.
func (l Link) WithAnnouncement(now, interval time.Duration, stalled bool) Link {
	l.LastHeard, l.announceInterval, l.stalled = now, interval, stalled
	return l
}

// Reachable reports whether the host hears the owner, or may not have done so yet. An owner
// that the store does not serve is as good as unheard if the store is quick to answer
// this host.
func (l Link) Reachable(now time.Duration, storeQuick bool) bool {
	if l.stalled && storeQuick {
		return false
	}
	return now-l.LastHeard < maxMissedAnnouncements*max(AnnounceInterval, l.announceInterval) || now-l.ownerChangedAt < linkSetupGrace
}

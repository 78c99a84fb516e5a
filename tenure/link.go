package tenure

import "time"

const (
	// AnnounceInterval is the pause between two announcements of the owner of a small
	// cell.
	AnnounceInterval = 200 * time.Millisecond
	// announcesMissed is how many announcements may be missing until the owner
	// counts as out of reach.
	announcesMissed = 3
	// linkGrace is how long the link to a new owner may take to come up.
	linkGrace = 1500 * time.Millisecond
)

// Link is what a host hears from the owner of a cell itself. Times are on the clock
// that counts suspensions. The zero value has heard nothing.
type Link struct {
	// Heard is when the owner was last heard.
	Heard time.Duration
	// since is when the owner was last another one.
	since time.Duration
	// interval is the pause until the owner's next announcement.
	interval time.Duration
	// stalled tells that the store does not record for the owner, as it says; it holds
	// for this owner only.
	stalled bool
}

// WithOwner returns the link after the cell got another owner.
func (l Link) WithOwner(now time.Duration) Link {
	l.since, l.stalled = now, false
	return l
}

// WithAnnouncement returns the link after the owner was heard, which announces itself
// again after the interval.
func (l Link) WithAnnouncement(now, interval time.Duration, stalled bool) Link {
	l.Heard, l.interval, l.stalled = now, interval, stalled
	return l
}

// Up reports whether the host hears the owner, or may not have done so yet. An owner
// that the store does not serve is as good as unheard if the store is quick to answer
// this host.
func (l Link) Up(now time.Duration, storeQuick bool) bool {
	if l.stalled && storeQuick {
		return false
	}
	return now-l.Heard < announcesMissed*max(AnnounceInterval, l.interval) || now-l.since < linkGrace
}

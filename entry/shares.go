package entry

import (
	"context"
	"sync"
	"time"

	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/member"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/timer"
)

// Timing and budget of the duty that publishes summaries.
const (
	// summaryCheckInterval is the interval at which the duty checks for a summary to
	// send.
	summaryCheckInterval = 50 * time.Millisecond
	// minSummaryInterval is the least interval between two summaries.
	minSummaryInterval = time.Second
	// summaryBytesPerSecond bounds the bytes a second that a member spends on its
	// summaries: with many members, each receives them less often.
	summaryBytesPerSecond = 2048
	// summaryTimeout is how long a summary stays valid without a connection from its
	// sender.
	summaryTimeout = 5 * time.Second
)

// shareDuty publishes the summary of this host's core, with the demand that finds no
// capacity here, to the members of the region, and passes theirs to the core. Members
// of other regions receive none: they place on their own racks first, and the links to
// them are charged.
type shareDuty struct {
	host *Host

	mu sync.Mutex
	// latest is the latest summary of this host's core.
	latest decision.Summary
	// bytes is the encoded size of latest.
	bytes int
	// unsent reports whether latest has changed since lastSent.
	unsent   bool
	lastSent time.Time
	// disconnectedSince holds, for each member that has sent a summary, when its
	// connection was found lost; zero while there is one.
	disconnectedSince map[string]time.Time
}

func newShareDuty(h *Host) *shareDuty {
	return &shareDuty{host: h, disconnectedSince: map[string]time.Time{}}
}

// publish records a summary of the core, to be sent later.
func (d *shareDuty) publish(s decision.Summary) {
	body, err := codec.Marshal(s)
	if err != nil {
		d.host.log.Errorf("Share: encoding the summary failed: %v.", err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.latest, d.bytes, d.unsent = s, len(body), true
}

func (d *shareDuty) run(ctx context.Context) error {
	timer.Every(ctx, summaryCheckInterval, func(now time.Time) {
		d.offer(now)
		d.dropStale(now)
	})
	return nil
}

// regionMembers returns the other members of the region that may own something.
func (d *shareDuty) regionMembers() []member.Member {
	var members []member.Member
	for _, m := range d.host.roster.PossibleOwners() {
		if m.ID != d.host.name && m.Region == d.host.hostSettings.Region {
			members = append(members, m)
		}
	}
	return members
}

// offer offers a new summary to the members of the region, at a rate within the byte
// budget.
func (d *shareDuty) offer(now time.Time) {
	members := d.regionMembers()
	d.mu.Lock()
	pause := max(minSummaryInterval, time.Duration(len(members)*d.bytes)*time.Second/summaryBytesPerSecond)
	due := d.unsent && now.Sub(d.lastSent) >= pause
	if due {
		d.unsent, d.lastSent = false, now
	}
	d.mu.Unlock()
	if !due {
		return
	}
	for _, m := range members {
		d.offerTo(m.ID)
	}
}

// onConnected offers the summary to a member of the region over a new connection.
func (d *shareDuty) onConnected(name string) {
	if d.host.regionOf(name) == d.host.hostSettings.Region {
		d.offerTo(name)
	}
}

func (d *shareDuty) offerTo(name string) {
	// An error is ignored: the summary is sent over the next connection.
	_ = d.host.hub.SendLatest(name, peer.KindSummary, func() (any, bool) {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.latest, d.latest.Sequence > 0
	})
}

// receive handles a summary from another member.
func (d *shareDuty) receive(from string, s decision.Summary) {
	d.mu.Lock()
	d.disconnectedSince[from] = time.Time{}
	d.mu.Unlock()
	d.host.decide.put(decision.SummaryReceived{Member: from, Summary: s})
}

// dropStale makes the core drop the summaries of members that have been disconnected
// for longer than summaryTimeout. A member that reconnects sends its summary again.
func (d *shareDuty) dropStale(now time.Time) {
	for _, name := range d.removeStale(now) {
		d.host.decide.put(decision.MemberExpired{Member: name})
	}
}

// removeStale removes and returns the members that have been disconnected for too long.
func (d *shareDuty) removeStale(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var stale []string
	for name, since := range d.disconnectedSince {
		switch {
		case d.host.hub.ReachableFrom(name):
			d.disconnectedSince[name] = time.Time{}
		case since.IsZero():
			d.disconnectedSince[name] = now
		case now.Sub(since) > summaryTimeout:
			delete(d.disconnectedSince, name)
			stale = append(stale, name)
		}
	}
	return stale
}

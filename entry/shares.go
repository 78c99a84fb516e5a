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

// Pace of the duty that tells summaries.
const (
	// summaryCheckInterval is the pause between two looks at what is to be told.
	summaryCheckInterval = 50 * time.Millisecond
	// minSummaryInterval is the least pause between two summaries.
	minSummaryInterval = time.Second
	// summaryBytesPerSecond is the number of bytes that a member may spend a second on its
	// summaries: with many members each is told less often.
	summaryBytesPerSecond = 2048
	// summaryTimeout is how long a summary counts without a connection from its sender.
	summaryTimeout = 5 * time.Second
)

// shareDuty tells the members of the own region what finds no room here, and
// keeps what they tell. Members of other regions place on the racks of their own
// first, and the link to them is paid for, so that they are told nothing.
type shareDuty struct {
	host *Host

	mu sync.Mutex
	// latest is the summary of this host's core.
	latest decision.Summary
	// bytes is the size of latest.
	bytes int
	// unsent tells that latest has changed since told.
	unsent   bool
	lastSent time.Time
	// disconnectedSince holds the members that have told a summary, with the time since which
	// there is no connection from them; zero while there is one.
	disconnectedSince map[string]time.Time
}

func newShareDuty(h *Host) *shareDuty {
	return &shareDuty{host: h, disconnectedSince: map[string]time.Time{}}
}

// publish notes a summary of the core.
func (d *shareDuty) publish(s decision.Summary) {
	body, err := codec.Marshal(s)
	if err != nil {
		d.host.log.Errorf("Share: %v.", err)
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

// regionMembers returns the other members of the region.
func (d *shareDuty) regionMembers() []member.Member {
	var near []member.Member
	for _, m := range d.host.roster.Holding() {
		if m.ID != d.host.name && m.Region == d.host.hostSettings.Region {
			near = append(near, m)
		}
	}
	return near
}

// offer lets the links to the members of the region take a new summary, at the
// pace that their number allows.
func (d *shareDuty) offer(now time.Time) {
	near := d.regionMembers()
	d.mu.Lock()
	pause := max(minSummaryInterval, time.Duration(len(near)*d.bytes)*time.Second/summaryBytesPerSecond)
	due := d.unsent && now.Sub(d.lastSent) >= pause
	if due {
		d.unsent, d.lastSent = false, now
	}
	d.mu.Unlock()
	if !due {
		return
	}
	for _, m := range near {
		d.offerTo(m.ID)
	}
}

// onConnected tells a member of the region the summary over a new connection.
func (d *shareDuty) onConnected(name string) {
	if d.host.regionOf(name) == d.host.hostSettings.Region {
		d.offerTo(name)
	}
}

func (d *shareDuty) offerTo(name string) {
	// Without a connection there is nobody to tell; a new one is told.
	_ = d.host.hub.Offer(name, peer.KindSummary, func() (any, bool) {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.latest, d.latest.Sequence > 0
	})
}

// receive takes a summary of another member.
func (d *shareDuty) receive(from string, s decision.Summary) {
	d.mu.Lock()
	d.disconnectedSince[from] = time.Time{}
	d.mu.Unlock()
	d.host.decide.put(decision.SummaryReceived{Member: from, Summary: s})
}

// dropStale lets the core forget the summaries of members that have been cut off for
// long. A member that connects again tells its summary again.
func (d *shareDuty) dropStale(now time.Time) {
	for _, name := range d.removeStale(now) {
		d.host.decide.put(decision.MemberExpired{Member: name})
	}
}

func (d *shareDuty) removeStale(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var silent []string
	for name, since := range d.disconnectedSince {
		switch {
		case d.host.hub.Heard(name):
			d.disconnectedSince[name] = time.Time{}
		case since.IsZero():
			d.disconnectedSince[name] = now
		case now.Sub(since) > summaryTimeout:
			delete(d.disconnectedSince, name)
			silent = append(silent, name)
		}
	}
	return silent
}

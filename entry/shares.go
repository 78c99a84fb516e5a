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
	// shareInterval is the pause between two looks at what is to be told.
	shareInterval = 50 * time.Millisecond
	// sharePause is the least pause between two summaries.
	sharePause = time.Second
	// shareBudget is the number of bytes that a member may spend a second on its
	// summaries: with many members each is told less often.
	shareBudget = 2048
	// shareAge is how long a summary counts without a connection from its sender.
	shareAge = 5 * time.Second
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
	// untold tells that latest has changed since told.
	untold bool
	told   time.Time
	// heard holds the members that have told a summary, with the time since which
	// there is no connection from them; zero while there is one.
	heard map[string]time.Time
}

func newShareDuty(h *Host) *shareDuty { return &shareDuty{host: h, heard: map[string]time.Time{}} }

// tell notes a summary of the core.
func (d *shareDuty) tell(s decision.Summary) {
	body, err := codec.Marshal(s)
	if err != nil {
		d.host.log.Errorf("Share: %v.", err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.latest, d.bytes, d.untold = s, len(body), true
}

func (d *shareDuty) run(ctx context.Context) error {
	timer.Every(ctx, shareInterval, func(now time.Time) {
		d.offer(now)
		d.age(now)
	})
	return nil
}

// near returns the other members of the region.
func (d *shareDuty) near() []member.Member {
	var near []member.Member
	for _, m := range d.host.roster.PossibleOwners() {
		if m.ID != d.host.name && m.Region == d.host.own.Region {
			near = append(near, m)
		}
	}
	return near
}

// offer lets the links to the members of the region take a new summary, at the
// pace that their number allows.
func (d *shareDuty) offer(now time.Time) {
	near := d.near()
	d.mu.Lock()
	pause := max(sharePause, time.Duration(len(near)*d.bytes)*time.Second/shareBudget)
	due := d.untold && now.Sub(d.told) >= pause
	if due {
		d.untold, d.told = false, now
	}
	d.mu.Unlock()
	if !due {
		return
	}
	for _, m := range near {
		d.offerTo(m.ID)
	}
}

// connected tells a member of the region the summary over a new connection.
func (d *shareDuty) connected(name string) {
	if d.host.regionOf(name) == d.host.own.Region {
		d.offerTo(name)
	}
}

func (d *shareDuty) offerTo(name string) {
	// Without a connection there is nobody to tell; a new one is told.
	_ = d.host.hub.SendLatest(name, peer.KindSummary, func() (any, bool) {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.latest, d.latest.Sequence > 0
	})
}

// take takes a summary of another member.
func (d *shareDuty) take(from string, s decision.Summary) {
	d.mu.Lock()
	d.heard[from] = time.Time{}
	d.mu.Unlock()
	d.host.decide.put(decision.SummaryReceived{Member: from, Summary: s})
}

// age lets the core forget the summaries of members that have been cut off for
// long. A member that connects again tells its summary again.
func (d *shareDuty) age(now time.Time) {
	for _, name := range d.silent(now) {
		d.host.decide.put(decision.MemberExpired{Member: name})
	}
}

func (d *shareDuty) silent(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var silent []string
	for name, since := range d.heard {
		switch {
		case d.host.hub.ReachableFrom(name):
			d.heard[name] = time.Time{}
		case since.IsZero():
			d.heard[name] = now
		case now.Sub(since) > shareAge:
			delete(d.heard, name)
			silent = append(silent, name)
		}
	}
	return silent
}

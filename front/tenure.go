package front

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/ring"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/tenure"
	"github.com/vanillaquay/vanillaquay/timer"
)

const (
	// candidateInterval is the pause between two looks at the lease.
	candidateInterval = 100 * time.Millisecond
	// takeTimeout bounds the taking of a cell.
	takeTimeout = 3 * time.Second
	// announceShare is the part of each member in the pause between two announcements
	// of the owner, so that the owner of a large cell sends a hundred a second at most.
	announceShare = 10 * time.Millisecond
	// leaseWait keeps the store's answers to the watch of the lease coming.
	leaseWait = 700 * time.Millisecond
	// quickStore is the age up to which the last answer of the store says that the
	// store is quick: the wait of a watch of the lease, and a call between regions.
	quickStore = leaseWait + 100*time.Millisecond
	// resignPoll is the pause between two looks at whether the cell is given up.
	resignPoll = 10 * time.Millisecond
	// nearBound is the longest call to a store in the same region: 4 ms for the
	// answer and a few for the way. Between regions it takes 44 ms.
	nearBound = 25 * time.Millisecond
	// makeWayInterval is the pause between two looks for a host that is able to own the
	// cell in place of this one.
	makeWayInterval = time.Second
	// makeWayAfter is the least age of a tenure that is given up so. A hand-over costs
	// some 0.2 s without starts, and larger hosts may come back one after the other.
	makeWayAfter = 5 * time.Second
	// behindLooks is at how many looks in a row calls must have waited longer than
	// scheduler.MaxCallDelay for an owner to give the cell up: a burst passes.
	behindLooks = 2
	// abstainTime is how long an owner that was behind comes after all others, by
	// abstainRanks. Machines are slowed for some 7 s.
	abstainTime  = 10 * time.Second
	abstainRanks = 12
)

// Tenure tells the members who owns the cell.
type Tenure struct {
	Owner string `cbor:"1,keyasint"`
	Fence int64  `cbor:"2,keyasint"`
	// Interval is the pause until the next announcement.
	Interval time.Duration `cbor:"3,keyasint"`
	// Stalled tells that the store does not record for the owner.
	Stalled bool `cbor:"4,keyasint,omitempty"`
}

// watchLease follows the renewals of the owner.
func (h *Host) watchLease(ctx context.Context) {
	take := func(r ledger.Row) {
		var l ledger.Lease
		if err := codec.Unmarshal(r.Value, &l); err != nil {
			h.log.WithField("why", err.Error()).Warn("front: lease ignored")
			return
		}
		h.observe(func(now time.Duration, w tenure.Watcher) tenure.Watcher { return w.WithLease(now, l.Owner, l.Fence) })
	}
	ledger.Watch{
		Store: timed{h.store, func(took time.Duration) {
			if took < nearBound {
				h.mu.Lock()
				h.near = true
				h.mu.Unlock()
			}
		}},
		Table: ledger.LeaseTable, Part: cellName, FeedWait: leaseWait,
		OnChange: take,
		OnSuccess: func() {
			h.observe(func(now time.Duration, w tenure.Watcher) tenure.Watcher { return w.WithStoreHeard(now) })
		},
	}.Run(ctx)
}

// timed tells how long each list of rows took.
type timed struct {
	ledger.Store
	took func(time.Duration)
}

// Rows implements ledger.Store.
func (t timed) Rows(ctx context.Context, table, part, from string, limit int) (ledger.Page, error) {
	begun := clock.Now()
	page, err := t.Store.Rows(ctx, table, part, from, limit)
	t.took(clock.Now() - begun)
	return page, err
}

// observe changes what is known of the lease, and follows a new owner.
func (h *Host) observe(change func(now time.Duration, w tenure.Watcher) tenure.Watcher) {
	now := clock.Now()
	h.mu.Lock()
	earlier := h.watcher
	h.watcher = change(now, earlier)
	changed := h.watcher.Owner != earlier.Owner || h.watcher.Fence != earlier.Fence
	owner, fence := h.watcher.Owner, h.watcher.Fence
	if changed {
		h.link = h.link.WithOwner(now)
	}
	returned := h.watcher.StoreReturned(earlier)
	h.mu.Unlock()
	if returned {
		h.log.WithField("away_ms", (now - earlier.StoreHeard).Milliseconds()).Info("front: the store is back")
		h.followAgain()
	}
	if !changed {
		return
	}
	h.log.WithFields(logrus.Fields{"owner": owner, "fence": fence}).Info("front: owner of the cell")
	h.connect()
	h.desk.OwnerChanged()
}

// followAgain makes the calls again by which this host follows the configuration and the
// members: one that was sent while the store was silent gets no answer for 15 s.
func (h *Host) followAgain() {
	for _, r := range []*ring.Ring[struct{}]{h.catalogueAgain, h.membersAgain} {
		// A full ring means that the call is about to be made again.
		_ = r.TryPut(struct{}{})
	}
}

// linked reports whether this host hears the owner, or may not have done so yet.
func (h *Host) linked(now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.owner != nil {
		h.link = h.link.WithAnnouncement(now, 0, false)
		return true
	}
	return h.link.Up(now, now-h.watcher.StoreHeard < quickStore)
}

// asCandidate describes this host among those that may take the cell, and returns the
// largest share of processor time of all hosts that are known.
func (h *Host) asCandidate() (c tenure.Candidate, largest float64) {
	s := h.settings()
	h.mu.Lock()
	near := h.near
	h.mu.Unlock()
	for _, m := range h.members.all() {
		largest = max(largest, m.Processors)
	}
	return tenure.Candidate{Host: s.Host, Processors: s.Processors, Near: near}, max(largest, s.Processors)
}

// rank is the place of this host among the candidates for a tenure.
func (h *Host) rank(fence int64) int {
	c, largest := h.asCandidate()
	rank := c.Rank(fence, largest)
	if clock.Now() < time.Duration(h.abstain.Load()) {
		rank += abstainRanks
	}
	return rank
}

// makeWay gives the cell up once a host can be reached that is able to own it, if this
// one is not: it is small, or has too little processor time for the present load.
func (h *Host) makeWay(ctx context.Context) {
	looksBehind := 0
	for timer.Sleep(ctx, makeWayInterval) {
		o := h.owned()
		if o == nil {
			looksBehind = 0
			continue
		}
		if o.PeakCallDelay() > scheduler.MaxCallDelay {
			looksBehind++
		} else {
			looksBehind = 0
		}
		if clock.Now()-o.TenureStart() < makeWayAfter || o.StoreStalled() {
			continue
		}
		c, largest := h.asCandidate()
		if c.Able(largest) && looksBehind < behindLooks {
			continue
		}
		better, ok := h.ableMember(largest)
		if !ok {
			continue
		}
		h.log.WithFields(logrus.Fields{"to": better, "processors": c.Processors, "largest": largest, "looks_behind": looksBehind}).Info("front: giving the cell to another host")
		if looksBehind >= behindLooks {
			h.abstain.Store(int64(clock.Now() + abstainTime))
		}
		o.Resign()
	}
}

// ableMember returns a member that can be reached and is able to own the cell.
func (h *Host) ableMember(largest float64) (string, bool) {
	for _, p := range h.Peers() {
		if (tenure.Candidate{Host: p.Host, Processors: p.Processors}).Able(largest) {
			return p.Host, true
		}
	}
	return "", false
}

// candidate takes the cell when its owner is gone.
func (h *Host) candidate(ctx context.Context) {
	for timer.Sleep(ctx, candidateInterval) {
		now := clock.Now()
		linked := h.linked(now)
		_, ready := h.desk.Catalogue()
		h.mu.Lock()
		h.watcher = h.watcher.WithReach(now, linked, ready)
		watcher, own := h.watcher, h.owner != nil
		h.mu.Unlock()
		earlier := watcher.Owner == h.settings().Host
		if own || !ready || h.leaving.Load() || !watcher.ShouldTake(now, 0, linked, earlier) {
			continue
		}
		// The rank goes through all members, which is too dear for each look.
		if !watcher.ShouldTake(now, h.rank(watcher.Fence), linked, earlier) {
			continue
		}
		h.log.WithFields(logrus.Fields{
			"owner": watcher.Owner, "fence": watcher.Fence, "age_ms": (now - watcher.Renewed).Milliseconds(), "linked": linked,
		}).Info("front: taking the cell")
		h.tenure(ctx, ledger.Lease{Owner: watcher.Owner, Fence: watcher.Fence})
	}
}

// tenure takes the cell after an earlier tenure and decides for it until it is lost.
func (h *Host) tenure(ctx context.Context, earlier ledger.Lease) {
	s := h.settings()
	takeContext, cancel := context.WithTimeout(ctx, takeTimeout)
	l, err := ledger.Acquire(takeContext, h.store, cellName, s.Host, h.incarnation, earlier)
	cancel()
	if err != nil {
		h.log.WithField("why", err.Error()).Warn("front: cell not taken")
		return
	}
	h.takeovers.Add(1)
	o := scheduler.New(scheduler.Options{
		Cell: cellName, CellOptions: bounds(s), StatusRetention: s.StatusKept, EarlierOwnerTimeout: tenure.OwnerPatience,
		Holder: s.Host, UpkeepTime: s.UpkeepTime, TakeoverPause: s.TurnPause,
	}, l, h.store, h.relay, h.machines.Load(), h, &h.count, h.log)
	h.mu.Lock()
	h.owner = o
	for _, w := range h.waves {
		o.SetWave(w)
	}
	h.mu.Unlock()
	h.observe(func(now time.Duration, w tenure.Watcher) tenure.Watcher {
		return w.WithLease(now, s.Host, l.Fence())
	})
	// The watch may have told of the tenure before.
	h.connect()
	h.desk.OwnerChanged()
	h.tell()
	h.passOn(s.Host)
	// A version that comes later is handed to the owner, which is known by now.
	catalogue, _ := h.desk.Catalogue()
	err = o.Run(ctx, catalogue)
	h.mu.Lock()
	h.owner = nil
	h.mu.Unlock()
	h.connect()
	h.observe(func(now time.Duration, w tenure.Watcher) tenure.Watcher {
		if w.Fence == l.Fence() {
			w.Owner = ""
			w.Renewed = now
		}
		return w
	})
	why := ""
	if err != nil {
		why = errors.Cause(err).Error()
	}
	h.log.WithFields(logrus.Fields{"fence": l.Fence(), "why": why}).Info("front: tenure ended")
}

// resign gives the cell up if this host owns it, and waits until it has.
func (h *Host) resign(ctx context.Context) {
	o := h.owned()
	if o == nil {
		return
	}
	o.Resign()
	for h.owned() == o && timer.Sleep(ctx, resignPoll) {
	}
}

// owned returns the owner that runs here, or nil.
func (h *Host) owned() *scheduler.Owner {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.owner
}

// announce tells the members now and then who owns the cell.
func (h *Host) announce(ctx context.Context) {
	for timer.Sleep(ctx, h.announcePause()) {
		if h.owned() != nil {
			h.tell()
		}
	}
}

func (h *Host) announcePause() time.Duration {
	return max(tenure.AnnounceInterval, time.Duration(len(h.members.names()))*announceShare)
}

func (h *Host) tell() {
	h.mu.Lock()
	t := Tenure{Owner: h.watcher.Owner, Fence: h.watcher.Fence, Interval: h.announcePause()}
	if h.owner != nil {
		t.Stalled = h.owner.StoreStalled()
	}
	h.mu.Unlock()
	for _, name := range h.members.names() {
		if name != h.settings().Host {
			// A member that can't be reached learns it from the store.
			_ = h.hub.Send(name, peer.KindTenure, t)
		}
	}
}

// connect keeps links from the owner to all members, and from these to the owner.
func (h *Host) connect() {
	h.mu.Lock()
	owner, own := h.watcher.Owner, h.owner != nil
	h.mu.Unlock()
	var wanted []string
	for _, name := range h.members.names() {
		if name != h.settings().Host && (own || name == owner) {
			wanted = append(wanted, name)
		}
	}
	h.hub.Connect(wanted)
}

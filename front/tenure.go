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
	// takeoverTimeout bounds the taking of a cell.
	takeoverTimeout = 3 * time.Second
	// announceIntervalPerMember is the part of each member in the pause between two announcements
	// of the owner, so that the owner of a large cell sends a hundred a second at most.
	announceIntervalPerMember = 10 * time.Millisecond
	// leaseWatchWait keeps the store's answers to the watch of the lease coming.
	leaseWatchWait = 700 * time.Millisecond
	// maxStoreReplyAge is the age up to which the last answer of the store says that the
	// store is quick: the wait of a watch of the lease, and a call between regions.
	maxStoreReplyAge = leaseWatchWait + 100*time.Millisecond
	// resignPollInterval is the pause between two looks at whether the cell is given up.
	resignPollInterval = 10 * time.Millisecond
	// maxNearStoreLatency is the longest call to a store in the same region: 4 ms for the
	// answer and a few for the way. Between regions it takes 44 ms.
	maxNearStoreLatency = 25 * time.Millisecond
	// yieldCheckInterval is the pause between two looks for a host that is able to own the
	// cell in place of this one.
	yieldCheckInterval = time.Second
	// minTenureBeforeYield is the least age of a tenure that is given up so. A hand-over costs
	// some 0.2 s without starts, and larger hosts may come back one after the other.
	minTenureBeforeYield = 5 * time.Second
	// minBehindChecks is at how many looks in a row calls must have waited longer than
	// scheduler.MaxCallDelay for an owner to give the cell up: a burst passes.
	minBehindChecks = 2
	// abstainDuration is how long an owner that was behind comes after all others, by
	// abstainRanks. Machines are slowed for some 7 s.
	abstainDuration    = 10 * time.Second
	abstainRankPenalty = 12
)

// OwnerAnnouncement tells the members who owns the cell.
type OwnerAnnouncement struct {
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
		h.updateLease(func(now time.Duration, w tenure.LeaseState) tenure.LeaseState {
			return w.WithLease(now, l.Owner, l.Fence)
		})
	}
	ledger.Watch{
		Store: timedStore{h.store, func(took time.Duration) {
			if took < maxNearStoreLatency {
				h.mu.Lock()
				h.nearStore = true
				h.mu.Unlock()
			}
		}},
		Table: ledger.LeaseTable, Part: cellName, FeedWait: leaseWatchWait,
		OnChange: take,
		OnSuccess: func() {
			h.updateLease(func(now time.Duration, w tenure.LeaseState) tenure.LeaseState { return w.WithStoreReply(now) })
		},
	}.Run(ctx)
}

// timedStore tells how long each list of rows took.
type timedStore struct {
	ledger.Store
	reportDuration func(time.Duration)
}

// Rows implements ledger.Store.
func (t timedStore) Rows(ctx context.Context, table, part, from string, limit int) (ledger.Page, error) {
	begun := clock.Now()
	page, err := t.Store.Rows(ctx, table, part, from, limit)
	t.reportDuration(clock.Now() - begun)
	return page, err
}

// updateLease changes what is known of the lease, and follows a new owner.
func (h *Host) updateLease(change func(now time.Duration, w tenure.LeaseState) tenure.LeaseState) {
	now := clock.Now()
	h.mu.Lock()
	earlier := h.lease
	h.lease = change(now, earlier)
	changed := h.lease.Owner != earlier.Owner || h.lease.Fence != earlier.Fence
	owner, fence := h.lease.Owner, h.lease.Fence
	if changed {
		h.link = h.link.WithOwner(now)
	}
	returned := h.lease.StoreRecovered(earlier)
	h.mu.Unlock()
	if returned {
		h.log.WithField("away_ms", (now - earlier.LastStoreReply).Milliseconds()).Info("front: the store is back")
		h.refreshWatches()
	}
	if !changed {
		return
	}
	h.log.WithFields(logrus.Fields{"owner": owner, "fence": fence}).Info("front: owner of the cell")
	h.updateLinks()
	h.forwarder.ResendPending()
}

// refreshWatches makes the calls again by which this host follows the configuration and the
// members: one that was sent while the store was silent gets no answer for 15 s.
func (h *Host) refreshWatches() {
	for _, r := range []*ring.Ring[struct{}]{h.catalogueRefresh, h.membersRefresh} {
		// A full ring means that the call is about to be made again.
		_ = r.TryPut(struct{}{})
	}
}

// ownerReachable reports whether this host hears the owner, or may not have done so yet.
func (h *Host) ownerReachable(now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.owner != nil {
		h.link = h.link.WithAnnouncement(now, 0, false)
		return true
	}
	return h.link.Reachable(now, now-h.lease.LastStoreReply < maxStoreReplyAge)
}

// candidacy describes this host among those that may take the cell, and returns the
// largest share of processor time of all hosts that are known.
func (h *Host) candidacy() (c tenure.Candidate, largest float64) {
	s := h.settings()
	h.mu.Lock()
	near := h.nearStore
	h.mu.Unlock()
	for _, m := range h.members.all() {
		largest = max(largest, m.Processors)
	}
	return tenure.Candidate{Host: s.Host, Processors: s.Processors, NearStore: near}, max(largest, s.Processors)
}

// rank is the place of this host among the candidates for a tenure.
func (h *Host) rank(fence int64) int {
	c, largest := h.candidacy()
	rank := c.Rank(fence, largest)
	if clock.Now() < time.Duration(h.abstainUntil.Load()) {
		rank += abstainRankPenalty
	}
	return rank
}

// yieldCell gives the cell up once a host can be reached that is able to own it, if this
// one is not: it is small, or has too little processor time for the present load.
func (h *Host) yieldCell(ctx context.Context) {
	looksBehind := 0
	for timer.Sleep(ctx, yieldCheckInterval) {
		o := h.localOwner()
		if o == nil {
			looksBehind = 0
			continue
		}
		if o.PeakCallDelay() > scheduler.MaxCallDelay {
			looksBehind++
		} else {
			looksBehind = 0
		}
		if clock.Now()-o.TenureStart() < minTenureBeforeYield || o.StoreStalled() {
			continue
		}
		c, largest := h.candidacy()
		if c.Capable(largest) && looksBehind < minBehindChecks {
			continue
		}
		better, ok := h.capableMember(largest)
		if !ok {
			continue
		}
		h.log.WithFields(logrus.Fields{"to": better, "processors": c.Processors, "largest": largest, "looks_behind": looksBehind}).Info("front: giving the cell to another host")
		if looksBehind >= minBehindChecks {
			h.abstainUntil.Store(int64(clock.Now() + abstainDuration))
		}
		o.Resign()
	}
}

// capableMember returns a member that can be reached and is able to own the cell.
func (h *Host) capableMember(largest float64) (string, bool) {
	for _, p := range h.Peers() {
		if (tenure.Candidate{Host: p.Host, Processors: p.Processors}).Capable(largest) {
			return p.Host, true
		}
	}
	return "", false
}

// competeForCell takes the cell when its owner is gone.
func (h *Host) competeForCell(ctx context.Context) {
	for timer.Sleep(ctx, candidateInterval) {
		now := clock.Now()
		linked := h.ownerReachable(now)
		_, ready := h.forwarder.Catalogue()
		h.mu.Lock()
		h.lease = h.lease.WithReachability(now, linked, ready)
		watcher, own := h.lease, h.owner != nil
		h.mu.Unlock()
		earlier := watcher.Owner == h.settings().Host
		if own || !ready || h.stopping.Load() || !watcher.ShouldTakeOver(now, 0, linked, earlier) {
			continue
		}
		// The rank goes through all members, which is too dear for each look.
		if !watcher.ShouldTakeOver(now, h.rank(watcher.Fence), linked, earlier) {
			continue
		}
		h.log.WithFields(logrus.Fields{
			"owner": watcher.Owner, "fence": watcher.Fence, "age_ms": (now - watcher.LastRenewal).Milliseconds(), "linked": linked,
		}).Info("front: taking the cell")
		h.runTenure(ctx, ledger.Lease{Owner: watcher.Owner, Fence: watcher.Fence})
	}
}

// runTenure takes the cell after an earlier tenure and decides for it until it is lost.
func (h *Host) runTenure(ctx context.Context, earlier ledger.Lease) {
	s := h.settings()
	takeContext, cancel := context.WithTimeout(ctx, takeoverTimeout)
	l, err := ledger.Acquire(takeContext, h.store, cellName, s.Host, h.incarnation, earlier)
	cancel()
	if err != nil {
		h.log.WithField("why", err.Error()).Warn("front: cell not taken")
		return
	}
	h.takeovers.Add(1)
	o := scheduler.New(scheduler.Options{
		Cell: cellName, CellOptions: cellOptions(s), StatusRetention: s.StatusKept, EarlierOwnerTimeout: tenure.OwnerTimeout,
		Holder: s.Host, UpkeepTime: s.UpkeepTime, TakeoverPause: s.TurnPause,
	}, l, h.store, h.relay, h.machines.Load(), h, &h.counters, h.log)
	h.mu.Lock()
	h.owner = o
	for _, w := range h.waves {
		o.SetWave(w)
	}
	h.mu.Unlock()
	h.updateLease(func(now time.Duration, w tenure.LeaseState) tenure.LeaseState {
		return w.WithLease(now, s.Host, l.Fence())
	})
	// The watch may have told of the tenure before.
	h.updateLinks()
	h.forwarder.ResendPending()
	h.announceOwner()
	h.forwardCachedAdvice(s.Host)
	// A version that comes later is handed to the owner, which is known by now.
	catalogue, _ := h.forwarder.Catalogue()
	err = o.Run(ctx, catalogue)
	h.mu.Lock()
	h.owner = nil
	h.mu.Unlock()
	h.updateLinks()
	h.updateLease(func(now time.Duration, w tenure.LeaseState) tenure.LeaseState {
		if w.Fence == l.Fence() {
			w.Owner = ""
			w.LastRenewal = now
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
	o := h.localOwner()
	if o == nil {
		return
	}
	o.Resign()
	for h.localOwner() == o && timer.Sleep(ctx, resignPollInterval) {
	}
}

// localOwner returns the owner that runs here, or nil.
func (h *Host) localOwner() *scheduler.Owner {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.owner
}

// announcePeriodically tells the members now and then who owns the cell.
func (h *Host) announcePeriodically(ctx context.Context) {
	for timer.Sleep(ctx, h.announceInterval()) {
		if h.localOwner() != nil {
			h.announceOwner()
		}
	}
}

func (h *Host) announceInterval() time.Duration {
	return max(tenure.AnnounceInterval, time.Duration(len(h.members.names()))*announceIntervalPerMember)
}

func (h *Host) announceOwner() {
	h.mu.Lock()
	t := OwnerAnnouncement{Owner: h.lease.Owner, Fence: h.lease.Fence, Interval: h.announceInterval()}
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

// updateLinks keeps links from the owner to all members, and from these to the owner.
func (h *Host) updateLinks() {
	h.mu.Lock()
	owner, own := h.lease.Owner, h.owner != nil
	h.mu.Unlock()
	var wanted []string
	for _, name := range h.members.names() {
		if name != h.settings().Host && (own || name == owner) {
			wanted = append(wanted, name)
		}
	}
	h.hub.Connect(wanted)
}

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
	// candidateInterval is the interval at which a host checks whether to take the cell
	// over.
	candidateInterval = 100 * time.Millisecond
	// takeoverTimeout bounds the acquisition of the cell.
	takeoverTimeout = 3 * time.Second
	// stallCheckInterval is the interval at which an owner checks whether an announcement is due.
	stallCheckInterval = 50 * time.Millisecond
	// announceIntervalPerMember is the part of the announcement interval per member, so
	// that the owner of a large cell sends at most a hundred announcements a second.
	announceIntervalPerMember = 10 * time.Millisecond
	// leaseWatchWait is how long one call of the lease watch waits for a change; each reply
	// shows that the store is up.
	leaseWatchWait = 700 * time.Millisecond
	// maxStoreReplyAge bounds the age of the store's last reply for the store to count as
	// responsive: the wait of the lease watch, and a call between regions.
	maxStoreReplyAge = leaseWatchWait + 100*time.Millisecond
	// resignPollInterval is the interval of checks whether a resigned owner has ended.
	resignPollInterval = 10 * time.Millisecond
	// maxNearStoreLatency bounds the duration of a call to a store in the same region: 4 ms
	// for the answer and a few for the network. Between regions it takes 44 ms.
	maxNearStoreLatency = 25 * time.Millisecond
	// yieldCheckInterval is the interval of checks for a more capable host to own the cell.
	yieldCheckInterval = time.Second
	// minTenureBeforeYield is the minimum age of a tenure that is ended for a more capable
	// host. A hand-over costs some 0.2 s without starts, and larger hosts may come back one
	// after the other.
	minTenureBeforeYield = 5 * time.Second
	// minBehindChecks is the number of consecutive checks with a call delay above
	// scheduler.MaxCallDelay after which an owner counts as overloaded and gives the cell
	// up: a burst passes sooner.
	minBehindChecks = 2
	// abstainDuration is how long an overloaded owner ranks behind all other candidates, by
	// abstainRankPenalty. Machines are slowed for some 7 s.
	abstainDuration    = 10 * time.Second
	abstainRankPenalty = 12
)

// OwnerAnnouncement tells the members who owns the cell.
type OwnerAnnouncement struct {
	Owner string `cbor:"1,keyasint"`
	Fence int64  `cbor:"2,keyasint"`
	// Interval is the time until the next announcement.
	Interval time.Duration `cbor:"3,keyasint"`
	// Stalled reports that the store records nothing for the owner.
	Stalled bool `cbor:"4,keyasint,omitempty"`
	// CatalogueVersion is the version of the catalogue that the sender has in force.
	CatalogueVersion int64 `cbor:"5,keyasint,omitempty"`
}

// watchLease follows the lease of the cell.
func (h *Host) watchLease(ctx context.Context) {
	onChange := func(r ledger.Row) {
		var l ledger.Lease
		if err := codec.Unmarshal(r.Value, &l); err != nil {
			h.log.WithField("why", err.Error()).Warn("front: invalid lease ignored")
			return
		}
		h.updateLease(func(now time.Duration, state tenure.LeaseState) tenure.LeaseState {
			return state.WithLease(now, l.Owner, l.Fence)
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
		OnChange: onChange,
		OnSuccess: func() {
			h.updateLease(func(now time.Duration, state tenure.LeaseState) tenure.LeaseState { return state.WithStoreReply(now) })
		},
	}.Run(ctx)
}

// timedStore reports the duration of each list call.
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

// updateLease applies a change to the lease state, and reacts to a new owner and to a
// recovered store.
func (h *Host) updateLease(change func(now time.Duration, state tenure.LeaseState) tenure.LeaseState) {
	now := clock.Now()
	h.mu.Lock()
	previous := h.lease
	h.lease = change(now, previous)
	changed := h.lease.Owner != previous.Owner || h.lease.Fence != previous.Fence
	owner, fence := h.lease.Owner, h.lease.Fence
	if changed {
		h.link = h.link.WithOwner(now)
	}
	recovered := h.lease.StoreRecovered(previous)
	own := h.owner
	h.mu.Unlock()
	if own != nil && fence > own.Fence() {
		// It may be cut off from the store, so that no transaction tells it.
		own.Supersede()
	}
	if recovered {
		h.log.WithField("away_ms", (now - previous.LastStoreReply).Milliseconds()).Info("front: the store is back")
		h.refreshWatches()
	}
	if !changed {
		return
	}
	h.log.WithFields(logrus.Fields{"owner": owner, "fence": fence}).Info("front: owner of the cell")
	h.updateLinks()
	h.forwarder.ResendPending()
}

// refreshWatches reissues the calls of the watches of configuration and members: a call
// that was sent while the store was down gets no answer for 15 s.
func (h *Host) refreshWatches() {
	for _, r := range []*ring.Ring[struct{}]{h.catalogueRefresh, h.membersRefresh} {
		// If the ring is full, a reissue is already due.
		_ = r.TryPut(struct{}{})
	}
}

// ownerReachable reports whether this host receives the announcements of the owner, or the
// link to it may still be coming up.
func (h *Host) ownerReachable(now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.owner != nil {
		h.link = h.link.WithAnnouncement(now, 0, false)
		return true
	}
	return h.link.Reachable(now, now-h.lease.LastStoreReply < maxStoreReplyAge)
}

// candidacy returns this host as a candidate for the cell, and the largest share of
// processor time of all known hosts.
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

// rank returns the rank of this host among the candidates for the tenure after the one with
// the given fencing token.
func (h *Host) rank(fence int64) int {
	c, largest := h.candidacy()
	rank := c.Rank(fence, largest)
	if clock.Now() < time.Duration(h.abstainUntil.Load()) {
		rank += abstainRankPenalty
	}
	return rank
}

// yieldCell gives the cell up once a capable host can be reached, if this one is not
// capable itself or is overloaded: it has too little processor time, in general or for the
// present load.
func (h *Host) yieldCell(ctx context.Context) {
	behindChecks := 0
	for timer.Sleep(ctx, yieldCheckInterval) {
		o := h.localOwner()
		if o == nil {
			behindChecks = 0
			continue
		}
		if o.PeakCallDelay() > scheduler.MaxCallDelay {
			behindChecks++
		} else {
			behindChecks = 0
		}
		if clock.Now()-o.TenureStart() < minTenureBeforeYield || o.StoreStalled() {
			continue
		}
		c, largest := h.candidacy()
		if c.Capable(largest) && behindChecks < minBehindChecks {
			continue
		}
		successor, ok := h.capableMember(largest)
		if !ok {
			continue
		}
		h.log.WithFields(logrus.Fields{"to": successor, "processors": c.Processors, "largest": largest, "looks_behind": behindChecks}).Info("front: resigning in favour of another capable host")
		if behindChecks >= minBehindChecks {
			h.abstainUntil.Store(int64(clock.Now() + abstainDuration))
		}
		o.Resign()
	}
}

// capableMember returns a reachable member that is capable of owning the cell.
func (h *Host) capableMember(largest float64) (string, bool) {
	for _, p := range h.Peers() {
		if (tenure.Candidate{Host: p.Host, Processors: p.Processors}).Capable(largest) {
			return p.Host, true
		}
	}
	return "", false
}

// competeForCell takes the cell over when its owner has ended or cannot be reached.
func (h *Host) competeForCell(ctx context.Context) {
	for timer.Sleep(ctx, candidateInterval) {
		now := clock.Now()
		linked := h.ownerReachable(now)
		_, ready := h.forwarder.Catalogue()
		h.mu.Lock()
		h.lease = h.lease.WithReachability(now, linked, ready)
		lease, own := h.lease, h.owner != nil
		h.mu.Unlock()
		ownPredecessor := lease.Owner == h.settings().Host
		if own || !ready || h.stopping.Load() || !lease.ShouldTakeOver(now, 0, linked, ownPredecessor) {
			continue
		}
		// Computing the rank goes through all members, which is too expensive for each
		// check.
		if !lease.ShouldTakeOver(now, h.rank(lease.Fence), linked, ownPredecessor) {
			continue
		}
		h.log.WithFields(logrus.Fields{
			"owner": lease.Owner, "fence": lease.Fence, "age_ms": (now - lease.LastRenewal).Milliseconds(), "linked": linked,
		}).Info("front: taking the cell")
		h.runTenure(ctx, ledger.Lease{Owner: lease.Owner, Fence: lease.Fence})
	}
}

// runTenure takes the cell over from an earlier tenure and schedules for it until the
// tenure ends.
func (h *Host) runTenure(ctx context.Context, previous ledger.Lease) {
	s := h.settings()
	takeoverContext, cancel := context.WithTimeout(ctx, takeoverTimeout)
	l, err := ledger.Acquire(takeoverContext, h.store, cellName, s.Host, h.incarnation, previous)
	cancel()
	if err != nil {
		h.log.WithField("why", err.Error()).Warn("front: cell not taken")
		return
	}
	h.takeovers.Add(1)
	o := scheduler.New(scheduler.Options{
		Cell: cellName, CellOptions: cellOptions(s), StatusRetention: s.StatusKept, EarlierOwnerTimeout: tenure.OwnerTimeout,
		Holder: s.Host, UpkeepTime: s.UpkeepTime, TakeoverPause: s.TurnPause, MaxQueuedJobBytes: limitsOf(s).QueuedBytes,
	}, l, h.store, h.relay, h.machines.Load(), h, &h.counters, h.log)
	h.limitBacklog(o)
	h.mu.Lock()
	h.owner = o
	for _, w := range h.waves {
		o.SetWave(w)
	}
	h.mu.Unlock()
	h.updateLease(func(now time.Duration, state tenure.LeaseState) tenure.LeaseState {
		return state.WithLease(now, s.Host, l.Fence())
	})
	// updateLease reacts only to a change, and the lease watch may have reported this
	// tenure first.
	h.updateLinks()
	h.forwarder.ResendPending()
	h.announceOwner()
	h.forwardCachedAdvice(s.Host)
	// Later versions reach the owner by watchCatalogue, as h.owner is already set.
	catalogue, _ := h.forwarder.Catalogue()
	err = o.Run(ctx, catalogue)
	h.mu.Lock()
	h.owner = nil
	h.mu.Unlock()
	h.updateLinks()
	// This tenure has left calls without a reply.
	h.forwarder.ResendPending()
	h.updateLease(func(now time.Duration, state tenure.LeaseState) tenure.LeaseState {
		if state.Fence == l.Fence() {
			state.Owner = ""
			state.LastRenewal = now
		}
		return state
	})
	why := ""
	if err != nil {
		why = errors.Cause(err).Error()
	}
	h.log.WithFields(logrus.Fields{"fence": l.Fence(), "why": why}).Info("front: tenure ended")
}

// resign gives the cell up if this host owns it, and waits until the tenure has ended.
func (h *Host) resign(ctx context.Context) {
	o := h.localOwner()
	if o == nil {
		return
	}
	o.Resign()
	for h.localOwner() == o && timer.Sleep(ctx, resignPollInterval) {
	}
}

// localOwner returns the owner that runs on this host, or nil.
func (h *Host) localOwner() *scheduler.Owner {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.owner
}

// announcePeriodically announces the owner to the members while it runs on this host, and at
// once when the store stops serving it: the next owner can take the cell only then.
func (h *Host) announcePeriodically(ctx context.Context) {
	announcedAt, stalled := time.Duration(0), false
	for timer.Sleep(ctx, stallCheckInterval) {
		o := h.localOwner()
		if o == nil {
			continue
		}
		now, wasStalled := clock.Now(), stalled
		stalled = o.StoreStalled()
		if stalled && !wasStalled || now-announcedAt >= h.announceInterval() {
			announcedAt = now
			h.announceOwner()
		}
	}
}

func (h *Host) announceInterval() time.Duration {
	return max(tenure.AnnounceInterval, time.Duration(len(h.members.names()))*announceIntervalPerMember)
}

func (h *Host) announceOwner() {
	h.mu.Lock()
	t := OwnerAnnouncement{Owner: h.lease.Owner, Fence: h.lease.Fence, Interval: h.announceInterval(), CatalogueVersion: h.forwarder.CatalogueVersion()}
	if h.owner != nil {
		t.Stalled = h.owner.StoreStalled()
	}
	h.mu.Unlock()
	for _, name := range h.members.names() {
		if name != h.settings().Host {
			// An unreachable member learns of the owner from the store.
			_ = h.hub.Send(name, peer.KindTenure, t)
		}
	}
}

// updateLinks requests links from the owner to all members, and from each member to the
// owner.
func (h *Host) updateLinks() {
	h.mu.Lock()
	owner, own := h.lease.Owner, h.owner != nil
	localOwner := h.owner
	h.mu.Unlock()
	if own {
		h.limitBacklog(localOwner)
	}
	var wanted []string
	for _, name := range h.members.names() {
		if name != h.settings().Host && (own || name == owner) {
			wanted = append(wanted, name)
		}
	}
	h.hub.Connect(wanted)
}

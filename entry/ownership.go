package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/vanillaquay/vanillaquay/member"
	"github.com/vanillaquay/vanillaquay/partition"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/rackowner"
	"github.com/vanillaquay/vanillaquay/ring"
	"github.com/vanillaquay/vanillaquay/tablestore"
)

// Pace of membership and ownership.
const (
	// minOwnershipInterval is the least pause between two looks at members and
	// owners.
	minOwnershipInterval = time.Second
	// readsPerScan is the number of reads of one look.
	readsPerScan = 4
	// storeTimeout bounds one call for membership or ownership, so that a store
	// that never answers counts as down.
	storeTimeout = time.Second
	// claimBurst is the number of claims that a host writes without a pause.
	claimBurst = 16
	// maxConcurrentClaims is the most claims that are being written.
	maxConcurrentClaims = 8
	// minLeaseForClaim is how long the lease must last for a claim to be written.
	minLeaseForClaim = storeTimeout
	// notifyRetryInterval is the pause before a member is told again of a change.
	notifyRetryInterval = 50 * time.Millisecond
)

// ownership is what the host keeps to take and give up partitions and racks.
// Use newOwnership to make one.
type ownership struct {
	// changing is held while what the host owns is being changed.
	changing sync.Mutex
	// limiter is that of the claims.
	limiter *rate.Limiter
	// scanRequested holds a value if another member tells that it handed things over.
	scanRequested *ring.Ring[struct{}]
	// ownersChanged tells that this host joined, or handed something over, since the
	// members were told.
	ownersChanged atomic.Bool
	// unnotified holds the members that are still to be told; changing guards it.
	unnotified map[string]bool
	// stopped tells that the host has given everything up for good.
	stopped bool
	// listedRacks are the racks that the core was last told of, in order.
	listedRacks []string
}

func newOwnership() *ownership {
	return &ownership{
		limiter: rate.NewLimiter(0, claimBurst), scanRequested: ring.New[struct{}](1), unnotified: map[string]bool{},
	}
}

// triggerScan makes the host look at owners at once. If it is about to look already,
// that is enough.
func (o *ownership) triggerScan() { _ = o.scanRequested.TryPut(struct{}{}) }

// resource is a partition or a rack that one member at a time owns.
type resource struct {
	name, key string
	// epoch is that under which this host decides for it; 0 if it does not.
	epoch   uint64
	acquire func(name string, claim partition.Claim)
	release func(name string)
}

// runOwnership takes what this host should own and gives up what it should not.
func (h *Host) runOwnership(ctx context.Context) error {
	for {
		if err := h.scan(ctx); err != nil && ctx.Err() == nil {
			h.log.Warnf("Ownership: %v.", err)
		}
		members := h.roster.Count()
		interval := max(minOwnershipInterval, time.Duration(members)*readsPerScan*time.Second/tablestore.ReadBudget)
		if !h.waitNext(ctx, jitter(interval)) {
			return nil
		}
	}
}

// waitNext waits for the next look and reports whether the context still lasts.
// Meanwhile members to which no link was up yet are told what changed.
func (h *Host) waitNext(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	again := time.NewTicker(notifyRetryInterval)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-h.ownership.scanRequested.Values():
			return true
		case <-again.C:
			h.ownership.changing.Lock()
			h.notifyNeighbours()
			h.ownership.changing.Unlock()
		}
	}
}

// scan reads what the platform tells and acts on it. What can't be read stays as
// it was last known, and nothing is taken or given up on old knowledge.
func (h *Host) scan(ctx context.Context) error {
	h.ownership.changing.Lock()
	defer h.ownership.changing.Unlock()
	reading, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return h.roster.Refresh(reading, h.platform) })
	group.Go(func() error { return h.owners.Refresh(reading, h.platform) })
	group.Go(func() error {
		h.readWorkers(reading)
		return nil
	})
	if err := group.Wait(); err != nil {
		return err
	}
	h.witnesses.updateRegistry()
	if h.ownership.stopped || !h.lease.Valid(minLeaseForClaim) || h.lease.Member().State != "Active" {
		return nil
	}
	fenced, err := h.roster.Fence(reading, h.platform, h.lease.Member())
	if fenced {
		// The others are told, so that each takes its part at once.
		h.ownership.ownersChanged.Store(true)
	}
	if err != nil {
		return err
	}
	return h.balance(ctx)
}

// readWorkers reads what ownership can do without for a while.
func (h *Host) readWorkers(ctx context.Context) {
	began := time.Now()
	defer func() { h.racks.recordRead(rackowner.ReadHosts, began) }()
	hosts, err := h.platform.Workers(ctx)
	if err != nil {
		h.log.Warnf("Ownership: the list of hosts was not read: %v.", err)
		return
	}
	h.racks.setWorkers(hosts)
	h.updateListedRacks(hosts)
}

// balance looks at every partition and rack of the host's region, beside each
// other, so that a slow one holds no other up.
func (h *Host) balance(ctx context.Context) error {
	members := h.neighbours()
	h.ownership.limiter.SetLimit(rate.Limit(tablestore.OwnershipWrites) / rate.Limit(max(1, h.roster.Count())))
	var group errgroup.Group
	group.SetLimit(maxConcurrentClaims)
	for _, t := range h.resources() {
		group.Go(func() error { return h.balanceOne(ctx, t, members) })
	}
	err := group.Wait()
	h.notifyNeighbours()
	return err
}

// notifyNeighbours tells the members of the region to look at owners, if there is a
// reason. Each is told once, as soon as there is a link to it. The caller holds
// h.owning.changing.
func (h *Host) notifyNeighbours() {
	if h.ownership.ownersChanged.Swap(false) {
		for _, m := range h.neighbours() {
			h.ownership.unnotified[m.ID] = true
		}
		delete(h.ownership.unnotified, h.name)
	}
	for id := range h.ownership.unnotified {
		_, known := h.roster.Lookup(id)
		if !known || h.hub.Send(id, peer.KindOwnership, peer.OwnershipChanged{}) == nil {
			delete(h.ownership.unnotified, id)
		}
	}
}

// neighbours returns the active members of the host's region. Only they own its
// partitions and racks.
func (h *Host) neighbours() []member.Member {
	drained := h.configuration().DrainedHosts
	var members []member.Member
	for _, m := range h.roster.Active() {
		if m.Region == h.hostSettings.Region && !slices.Contains(drained, m.ID) {
			members = append(members, m)
		}
	}
	return members
}

// resources returns the partitions and racks of the host's region.
func (h *Host) resources() []resource {
	var things []resource
	for _, name := range h.layout.RegionPartitions(h.hostSettings.Region) {
		things = append(things, resource{name: name, key: partition.PartitionPrefix + name, epoch: h.journals.epoch(name),
			acquire: h.journals.open, release: h.journals.drop})
	}
	racks := h.racks.racksIn(h.hostSettings.Region)
	maps.Copy(racks, h.racks.ownedEpochs())
	for name, epoch := range racks {
		things = append(things, resource{name: name, key: partition.RackPrefix + name, epoch: epoch,
			acquire: h.racks.claim, release: h.racks.release})
	}
	return things
}

// racksIn returns the racks of a region, each with the epoch 0.
func (d *rackDuty) racksIn(region string) map[string]uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	racks := map[string]uint64{}
	for _, w := range d.workers {
		if w.Region == region {
			racks[w.Rack] = 0
		}
	}
	return racks
}

// balanceOne takes or gives up one thing.
func (h *Host) balanceOne(ctx context.Context, t resource, members []member.Member) error {
	preferred, ok := partition.PreferredOwner(t.name, members)
	if !ok {
		return nil
	}
	claim := h.owners.Claim(t.key)
	self := h.lease.Member()
	switch {
	case claim.HeldBy(self) && preferred.ID != self.ID:
		return h.handOver(ctx, t, preferred)
	case claim.HeldBy(self):
		h.beginOwning(t, claim)
		return nil
	case t.epoch > 0:
		// Another member took it while this one was cut off.
		t.release(t.name)
	}
	if preferred.ID != self.ID || h.roster.Holds(claim.Owner, claim.Instance) {
		return nil
	}
	return h.takeOver(ctx, t, self)
}

// beginOwning decides for a thing that the table gives to this host: another member
// has handed it over, or the answer to a claim was lost. It begins anew if the thing
// came back before this host saw that it was gone: under the old epoch nobody would
// obey.
func (h *Host) beginOwning(t resource, claim partition.Claim) {
	if t.epoch >= claim.Epoch {
		return
	}
	h.log.Infof("Ownership: owns %s under epoch %d.", t.key, claim.Epoch)
	t.acquire(t.name, claim)
}

// jitter spreads a pause over nine tenths to all of its length.
func jitter(pause time.Duration) time.Duration {
	return pause - rand.N(pause/10)
}

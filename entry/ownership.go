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

// Timing and limits of membership and ownership.
const (
	// minOwnershipInterval is the least interval between two scans of members and
	// owners.
	minOwnershipInterval = time.Second
	// readsPerScan is the number of table reads of one scan.
	readsPerScan = 4
	// storeTimeout bounds one store call for membership or ownership, so that a store
	// that does not respond counts as down.
	storeTimeout = time.Second
	// claimBurst is the number of claims that a host may write at once.
	claimBurst = 16
	// maxConcurrentClaims bounds the number of claims being written at a time.
	maxConcurrentClaims = 8
	// minLeaseForClaim is the least remaining lease with which a claim is written.
	minLeaseForClaim = storeTimeout
	// notifyRetryInterval is the interval at which a failed notification is retried.
	notifyRetryInterval = 50 * time.Millisecond
)

// ownership is the state that the host needs to acquire and release partitions and
// racks. Use newOwnership to make one.
type ownership struct {
	// changing is held while the set of owned resources changes.
	changing sync.Mutex
	// limiter limits the rate of claims.
	limiter *rate.Limiter
	// scanRequested holds a value if a scan is to start at once, for instance because
	// another member has handed resources over.
	scanRequested *ring.Ring[struct{}]
	// ownersChanged reports whether this host has joined, fenced a member or handed
	// something over since its neighbours were last notified.
	ownersChanged atomic.Bool
	// unnotified holds the members that are still to be notified; changing guards it.
	unnotified map[string]bool
	// stopped reports whether the host has released everything for good.
	stopped bool
	// listedRacks holds the racks last passed to the core, in order.
	listedRacks []string
}

func newOwnership() *ownership {
	return &ownership{
		limiter: rate.NewLimiter(0, claimBurst), scanRequested: ring.New[struct{}](1), unnotified: map[string]bool{},
	}
}

// triggerScan makes the host scan owners at once. Requests that are already pending are
// merged.
func (o *ownership) triggerScan() { _ = o.scanRequested.TryPut(struct{}{}) }

// resource is a partition or a rack, which has one owner at a time.
type resource struct {
	name, key string
	// epoch is the epoch under which this host decides for it; 0 if it does not.
	epoch   uint64
	acquire func(name string, claim partition.Claim)
	release func(name string)
}

// runOwnership scans members and owners at every interval, acquires what this host
// should own and releases what it should not.
func (h *Host) runOwnership(ctx context.Context) error {
	for {
		if err := h.scan(ctx); err != nil && ctx.Err() == nil {
			h.log.Warnf("Ownership: scan failed, will retry: %v.", err)
		}
		members := h.roster.Count()
		interval := max(minOwnershipInterval, time.Duration(members)*readsPerScan*time.Second/tablestore.ReadBudget)
		if !h.waitNext(ctx, jitter(interval)) {
			return nil
		}
	}
}

// waitNext waits until the next scan is due. It reports false if the context has ended.
// Meanwhile it notifies members that had no link before.
func (h *Host) waitNext(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	retry := time.NewTicker(notifyRetryInterval)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-h.ownership.scanRequested.Values():
			return true
		case <-retry.C:
			h.ownership.changing.Lock()
			h.notifyNeighbours()
			h.ownership.changing.Unlock()
		}
	}
}

// scan reads the platform's rows and acts on them. Rows that can't be read stay as last
// known, and then nothing is acquired or released.
func (h *Host) scan(ctx context.Context) error {
	h.ownership.changing.Lock()
	defer h.ownership.changing.Unlock()
	readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return h.roster.Refresh(readCtx, h.platform) })
	group.Go(func() error { return h.owners.Refresh(readCtx, h.platform) })
	group.Go(func() error {
		h.readWorkers(readCtx)
		return nil
	})
	if err := group.Wait(); err != nil {
		return err
	}
	h.witnesses.updateRegistry()
	if h.ownership.stopped || !h.lease.ValidFor(minLeaseForClaim) || h.lease.Member().State != "Active" {
		return nil
	}
	fenced, err := h.roster.Fence(readCtx, h.platform, h.lease.Member())
	if fenced {
		// The neighbours are notified, so that each acquires its share at once.
		h.ownership.ownersChanged.Store(true)
	}
	if err != nil {
		return err
	}
	return h.balance(ctx)
}

// readWorkers reads the platform's list of workers. Ownership can do without an
// up-to-date list for a while, so that a failed read is only logged.
func (h *Host) readWorkers(ctx context.Context) {
	start := time.Now()
	defer func() { h.racks.recordRead(rackowner.ReadHosts, start) }()
	workers, err := h.platform.Workers(ctx)
	if err != nil {
		h.log.Warnf("Ownership: reading the list of workers failed, the last one stays: %v.", err)
		return
	}
	h.racks.setWorkers(workers)
	h.updateListedRacks(workers)
}

// balance checks every partition and rack of the host's region in parallel, so that a
// slow one does not delay the others.
func (h *Host) balance(ctx context.Context) error {
	members := h.neighbours()
	h.ownership.limiter.SetLimit(rate.Limit(tablestore.OwnershipWriteBudget) / rate.Limit(max(1, h.roster.Count())))
	var group errgroup.Group
	group.SetLimit(maxConcurrentClaims)
	for _, t := range h.resources() {
		group.Go(func() error { return h.balanceOne(ctx, t, members) })
	}
	err := group.Wait()
	h.notifyNeighbours()
	return err
}

// notifyNeighbours notifies the members of the region to scan owners, if owners have
// changed. Each is notified once, as soon as there is a link to it. The caller holds
// h.ownership.changing.
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

// neighbours returns the active members of the host's region, without those that
// operators drain. Only they may own its partitions and racks.
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

// resources returns the partitions and racks of the host's region, and the racks that
// it owns.
func (h *Host) resources() []resource {
	var resources []resource
	for _, name := range h.layout.RegionPartitions(h.hostSettings.Region) {
		resources = append(resources, resource{name: name, key: partition.PartitionPrefix + name, epoch: h.journals.epoch(name),
			acquire: h.journals.open, release: h.journals.drop})
	}
	racks := h.racks.racksIn(h.hostSettings.Region)
	maps.Copy(racks, h.racks.ownedEpochs())
	for name, epoch := range racks {
		resources = append(resources, resource{name: name, key: partition.RackPrefix + name, epoch: epoch,
			acquire: h.racks.acquire, release: h.racks.release})
	}
	return resources
}

// racksIn returns the racks of a region, each with epoch 0.
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

// balanceOne acquires or releases one resource as needed.
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
		// Another member acquired it while this one was disconnected.
		t.release(t.name)
	}
	if preferred.ID != self.ID || h.roster.MayOwn(claim.Owner, claim.Instance) {
		return nil
	}
	return h.takeOver(ctx, t, self)
}

// beginOwning starts deciding for a resource that the table assigns to this host:
// another member has handed it over, or the answer to a claim was lost. If the resource
// moved away and back between two scans, deciding restarts under the new epoch, since
// commands under the old one would be rejected.
func (h *Host) beginOwning(t resource, claim partition.Claim) {
	if t.epoch >= claim.Epoch {
		return
	}
	h.log.Infof("Ownership: owns %s under epoch %d.", t.key, claim.Epoch)
	t.acquire(t.name, claim)
}

// jitter returns a random duration between nine tenths of a pause and all of it.
func jitter(pause time.Duration) time.Duration {
	return pause - rand.N(pause/10)
}

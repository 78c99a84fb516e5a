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
	// ownershipInterval is the least pause between two looks at members and
	// owners.
	ownershipInterval = time.Second
	// readsPerLook is the number of reads of one look.
	readsPerLook = 4
	// storeTimeout bounds one call for membership or ownership, so that a store
	// that never answers counts as down.
	storeTimeout = time.Second
	// claimBurst is the number of claims that a host writes without a pause.
	claimBurst = 16
	// claimsAtOnce is the most claims that are being written.
	claimsAtOnce = 8
	// claimMargin is how long the lease must last for a claim to be written.
	claimMargin = storeTimeout
	// tellPause is the pause before a member is told again of a change.
	tellPause = 50 * time.Millisecond
)

// ownership is what the host keeps to take and give up partitions and racks.
// Use newOwnership to make one.
type ownership struct {
	// changing is held while what the host owns is being changed.
	changing sync.Mutex
	// pace is that of the claims.
	pace *rate.Limiter
	// changed holds a value if another member tells that it handed things over.
	changed *ring.Ring[struct{}]
	// handed tells that this host joined, or handed something over, since the
	// members were told.
	handed atomic.Bool
	// untold holds the members that are still to be told; changing guards it.
	untold map[string]bool
	// stopped tells that the host has given everything up for good.
	stopped bool
	// listed are the racks that the core was last told of, in order.
	listed []string
}

func newOwnership() *ownership {
	return &ownership{
		pace: rate.NewLimiter(0, claimBurst), changed: ring.New[struct{}](1), untold: map[string]bool{},
	}
}

// tell makes the host look at owners at once. If it is about to look already,
// that is enough.
func (o *ownership) tell() { _ = o.changed.TryPut(struct{}{}) }

// thing is a partition or a rack that one member at a time owns.
type thing struct {
	name, key string
	// epoch is that under which this host decides for it; 0 if it does not.
	epoch uint64
	take  func(name string, claim partition.Claim)
	give  func(name string)
}

// ownership takes what this host should own and gives up what it should not.
func (h *Host) ownership(ctx context.Context) error {
	for {
		if err := h.look(ctx); err != nil && ctx.Err() == nil {
			h.log.Warnf("Ownership: %v.", err)
		}
		members := h.roster.Count()
		interval := max(ownershipInterval, time.Duration(members)*readsPerLook*time.Second/tablestore.ReadBudget)
		if !h.rest(ctx, jitter(interval)) {
			return nil
		}
	}
}

// rest waits for the next look and reports whether the context still lasts.
// Meanwhile members to which no link was up yet are told what changed.
func (h *Host) rest(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	again := time.NewTicker(tellPause)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-h.owning.changed.Values():
			return true
		case <-again.C:
			h.owning.changing.Lock()
			h.tellChanges()
			h.owning.changing.Unlock()
		}
	}
}

// look reads what the platform tells and acts on it. What can't be read stays as
// it was last known, and nothing is taken or given up on old knowledge.
func (h *Host) look(ctx context.Context) error {
	h.owning.changing.Lock()
	defer h.owning.changing.Unlock()
	reading, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return h.roster.Refresh(reading, h.platform) })
	group.Go(func() error { return h.owners.Refresh(reading, h.platform) })
	group.Go(func() error {
		h.readOthers(reading)
		return nil
	})
	if err := group.Wait(); err != nil {
		return err
	}
	h.witnesses.read()
	if h.owning.stopped || !h.lease.ValidFor(claimMargin) || h.lease.Member().State != "Active" {
		return nil
	}
	fenced, err := h.roster.Fence(reading, h.platform, h.lease.Member())
	if fenced {
		// The others are told, so that each takes its part at once.
		h.owning.handed.Store(true)
	}
	if err != nil {
		return err
	}
	return h.balance(ctx)
}

// readOthers reads what ownership can do without for a while.
func (h *Host) readOthers(ctx context.Context) {
	began := time.Now()
	defer func() { h.racks.tried(rackowner.ReadHosts, began) }()
	hosts, err := h.platform.Workers(ctx)
	if err != nil {
		h.log.Warnf("Ownership: the list of hosts was not read: %v.", err)
		return
	}
	h.racks.setHosts(hosts)
	h.listRacks(hosts)
}

// balance looks at every partition and rack of the host's region, beside each
// other, so that a slow one holds no other up.
func (h *Host) balance(ctx context.Context) error {
	members := h.neighbours()
	h.owning.pace.SetLimit(rate.Limit(tablestore.OwnershipWriteBudget) / rate.Limit(max(1, h.roster.Count())))
	var group errgroup.Group
	group.SetLimit(claimsAtOnce)
	for _, t := range h.things() {
		group.Go(func() error { return h.balanceOne(ctx, t, members) })
	}
	err := group.Wait()
	h.tellChanges()
	return err
}

// tellChanges tells the members of the region to look at owners, if there is a
// reason. Each is told once, as soon as there is a link to it. The caller holds
// h.owning.changing.
func (h *Host) tellChanges() {
	if h.owning.handed.Swap(false) {
		for _, m := range h.neighbours() {
			h.owning.untold[m.ID] = true
		}
		delete(h.owning.untold, h.name)
	}
	for id := range h.owning.untold {
		_, known := h.roster.Lookup(id)
		if !known || h.hub.Send(id, peer.KindOwnership, peer.OwnershipChanged{}) == nil {
			delete(h.owning.untold, id)
		}
	}
}

// neighbours returns the active members of the host's region. Only they own its
// partitions and racks.
func (h *Host) neighbours() []member.Member {
	drained := h.configuration().DrainedHosts
	var members []member.Member
	for _, m := range h.roster.Active() {
		if m.Region == h.own.Region && !slices.Contains(drained, m.ID) {
			members = append(members, m)
		}
	}
	return members
}

// things returns the partitions and racks of the host's region.
func (h *Host) things() []thing {
	var things []thing
	for _, name := range h.layout.RegionPartitions(h.own.Region) {
		things = append(things, thing{name: name, key: partition.PartitionPrefix + name, epoch: h.journals.epoch(name),
			take: h.journals.open, give: h.journals.drop})
	}
	racks := h.racks.namesIn(h.own.Region)
	maps.Copy(racks, h.racks.epochs())
	for name, epoch := range racks {
		things = append(things, thing{name: name, key: partition.RackPrefix + name, epoch: epoch,
			take: h.racks.claim, give: h.racks.release})
	}
	return things
}

// namesIn returns the racks of a region, each with the epoch 0.
func (d *rackDuty) namesIn(region string) map[string]uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	racks := map[string]uint64{}
	for _, w := range d.hosts {
		if w.Region == region {
			racks[w.Rack] = 0
		}
	}
	return racks
}

// balanceOne takes or gives up one thing.
func (h *Host) balanceOne(ctx context.Context, t thing, members []member.Member) error {
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
		h.begin(t, claim)
		return nil
	case t.epoch > 0:
		// Another member took it while this one was cut off.
		t.give(t.name)
	}
	if preferred.ID != self.ID || h.roster.MayOwn(claim.Owner, claim.Instance) {
		return nil
	}
	return h.takeOver(ctx, t, self)
}

// begin decides for a thing that the table gives to this host: another member
// has handed it over, or the answer to a claim was lost. It begins anew if the thing
// came back before this host saw that it was gone: under the old epoch nobody would
// obey.
func (h *Host) begin(t thing, claim partition.Claim) {
	if t.epoch >= claim.Epoch {
		return
	}
	h.log.Infof("Ownership: owns %s under epoch %d.", t.key, claim.Epoch)
	t.take(t.name, claim)
}

// jitter spreads a pause over nine tenths to all of its length.
func jitter(pause time.Duration) time.Duration {
	return pause - rand.N(pause/10)
}

package entry

import (
	"context"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/vanillaquay/vanillaquay/member"
	"github.com/vanillaquay/vanillaquay/partition"
	"github.com/vanillaquay/vanillaquay/tablestore"
)

// takeOver claims a resource that has no live owner.
func (h *Host) takeOver(ctx context.Context, t resource, self member.Member) error {
	claim, err := h.claim(ctx, t, self, h.owners.Acquire)
	if errors.Is(err, tablestore.ErrConflict) {
		return nil
	}
	if err != nil {
		return err
	}
	h.beginOwning(resource{name: t.name, key: t.key, acquire: t.acquire}, claim)
	return nil
}

// handOver stops deciding for a resource and then writes its next owner to the table.
// That owner begins at its next scan.
func (h *Host) handOver(ctx context.Context, t resource, to member.Member) error {
	write := h.owners.Acquire
	if t.epoch < h.owners.Claim(t.key).Epoch {
		write = h.owners.Transfer
	}
	if t.epoch > 0 {
		t.release(t.name)
	}
	claim, err := h.claim(ctx, t, to, write)
	if err != nil && !errors.Is(err, tablestore.ErrConflict) {
		return err
	}
	h.ownership.ownersChanged.Store(true)
	h.log.Infof("Ownership: handed over %s to %s under epoch %d.", t.key, to.ID, claim.Epoch)
	return nil
}

// claimWriter is a method of partition.Owners that writes an owner row.
type claimWriter func(context.Context, tablestore.Table, string, member.Member) (partition.Claim, error)

// claim writes an owner row, within the rate limit of claims.
func (h *Host) claim(ctx context.Context, t resource, m member.Member, write claimWriter) (partition.Claim, error) {
	if err := h.ownership.limiter.Wait(ctx); err != nil {
		return partition.Claim{}, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return write(ctx, h.platform, t.key, m)
}

// handOverAll hands over everything that this host owns to the members preferred in its
// absence. It first publishes that the host is leaving, so that they do not hand
// anything back.
func (h *Host) handOverAll(ctx context.Context) {
	if err := h.renewLease(ctx, member.HeartbeatInterval); err != nil {
		h.log.Warnf("Member: publishing that the host is leaving failed: %v.", err)
	}
	h.ownership.changing.Lock()
	defer h.ownership.changing.Unlock()
	h.ownership.stopped = true
	if err := h.refresh(ctx); err != nil {
		h.log.Warnf("Ownership: reading members and owners failed, using the last known rows: %v.", err)
	}
	self := h.lease.Member()
	members := h.neighbours()
	var group errgroup.Group
	group.SetLimit(maxConcurrentClaims)
	for _, t := range h.resources() {
		if h.owners.Claim(t.key).HeldBy(self) {
			group.Go(func() error { return h.handOverOrRelease(ctx, t, members) })
		}
	}
	if err := group.Wait(); err != nil {
		h.log.Warnf("Ownership: hand-over incomplete: %v.", err)
	}
	h.notifyNeighbours()
}

// refresh reads the rows of members and owners.
func (h *Host) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := h.roster.Refresh(ctx, h.platform); err != nil {
		return err
	}
	return h.owners.Refresh(ctx, h.platform)
}

// handOverOrRelease hands a resource over, or releases its claim if no other member may
// own it.
func (h *Host) handOverOrRelease(ctx context.Context, t resource, members []member.Member) error {
	if preferred, ok := partition.PreferredOwner(t.name, members); ok {
		return h.handOver(ctx, t, preferred)
	}
	if t.epoch > 0 {
		t.release(t.name)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return h.owners.Release(ctx, h.platform, t.key)
}

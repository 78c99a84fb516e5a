package entry

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/member"
	"github.com/vanillaquay/vanillaquay/timer"
)

// runHeartbeat renews the host's member lease until the context ends or another process
// replaces this one.
func (h *Host) runHeartbeat(ctx context.Context) error {
	for {
		interval := member.RenewalInterval(h.roster.Count())
		err := h.renewLease(ctx, interval)
		if errors.Is(err, member.ErrReplaced) {
			h.dropOwned()
			return err
		}
		if err != nil && ctx.Err() == nil {
			h.log.Warnf("Member: lease renewal failed, will retry: %v.", err)
			interval = member.HeartbeatInterval / 4
		}
		if !timer.Sleep(ctx, jitter(interval)) {
			return nil
		}
	}
}

// renewLease writes the host's member row once. A fenced host releases everything it
// owned before it rejoins as a new instance. A host that has just joined scans the
// owners at once, and its neighbours are notified to do the same.
func (h *Host) renewLease(ctx context.Context, interval time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	before := h.lease.Member().State
	err := h.lease.Renew(ctx, interval*member.LeaseDuration/member.HeartbeatInterval)
	if errors.Is(err, member.ErrFenced) {
		h.dropOwned()
		h.lease.Rejoin(uuid.NewString())
	}
	if err == nil && before == "Joining" {
		h.ownership.ownersChanged.Store(true)
		h.ownership.triggerScan()
	}
	return err
}

// dropOwned makes the host stop deciding for everything it owns, without writing to the
// table.
func (h *Host) dropOwned() {
	h.ownership.changing.Lock()
	defer h.ownership.changing.Unlock()
	var all sync.WaitGroup
	all.Go(h.journals.close)
	for _, name := range h.racks.names() {
		all.Go(func() { h.racks.release(name) })
	}
	all.Wait()
}

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

// runHeartbeat renews the lease of the host until the context ends or another process
// has taken its place.
func (h *Host) runHeartbeat(ctx context.Context) error {
	for {
		interval := member.Interval(h.roster.Count())
		err := h.renewLease(ctx, interval)
		if errors.Is(err, member.ErrReplaced) {
			h.dropOwned()
			return err
		}
		if err != nil && ctx.Err() == nil {
			h.log.Warnf("Member: the lease was not renewed: %v.", err)
			interval = member.HeartbeatInterval / 4
		}
		if !timer.Sleep(ctx, jitter(interval)) {
			return nil
		}
	}
}

// renewLease writes the row of the host once. A host that was fenced gives up what
// it had before it joins again as another instance. One that has joined looks at
// owners at once, and then tells the others to do so.
func (h *Host) renewLease(ctx context.Context, interval time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	before := h.lease.Member().State
	err := h.lease.Renew(ctx, interval*member.LeaseLength/member.HeartbeatInterval)
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

// dropOwned makes the host decide for nothing any more, without a write.
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

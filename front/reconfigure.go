package front

import (
	"context"
	"time"

	"github.com/vanillaquay/vanillaquay/platform"
)

// resignTimeout bounds the hand-over that new settings ask for; one takes 0.1 s to
// 0.25 s.
const resignTimeout = 5 * time.Second

// settings returns the settings in force.
func (h *Host) settings() platform.Settings { return *h.currentSettings.Load() }

// Reconfigure puts settings in force while the host runs. Where the host stands and
// listens and where the store is stays until it is started again. An owner counts on
// bounds that must not change under it, so that it gives the cell up; the next tenure
// has the new ones.
func (h *Host) Reconfigure(ctx context.Context, read platform.Settings) {
	earlier := h.settings()
	next := read.WithPlace(earlier)
	if next != read {
		h.log.Warn("front: settings changed that need a restart")
	}
	if next == earlier {
		h.log.Info("front: settings read again, nothing to change")
		return
	}
	h.currentSettings.Store(&next)
	if next.AdviceAddress != earlier.AdviceAddress {
		h.advisor.Store(platform.NewAdvisor(next.AdviceAddress))
	}
	if next.MachinesAddress != earlier.MachinesAddress {
		h.machines.Store(platform.NewMachines(next.MachinesAddress))
	}
	h.log.Info("front: settings changed")
	if next.WithTenure(earlier) == next {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	h.resign(ctx)
}

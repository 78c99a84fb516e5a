package front

import (
	"context"
	"time"

	"github.com/vanillaquay/vanillaquay/platform"
)

// resignTimeout bounds a hand-over for new settings, which takes 0.1 s to 0.25 s.
const resignTimeout = 5 * time.Second

// settings returns the settings in force.
func (h *Host) settings() platform.Settings { return *h.currentSettings.Load() }

// Reconfigure puts new settings in force while the host runs. The host's name, zone, region
// and addresses, and the address of the store, change only with a restart. An owner relies
// on limits that must not change during its tenure, so if these differ it gives the cell
// up; the next tenure uses the new limits.
func (h *Host) Reconfigure(ctx context.Context, read platform.Settings) {
	earlier := h.settings()
	next := read.WithHostSettingsOf(earlier)
	if next != read {
		h.log.Warn("front: settings changed that take effect only after a restart")
	}
	if next == earlier {
		h.log.Info("front: settings reloaded without changes")
		return
	}
	h.currentSettings.Store(&next)
	h.applyLimits()
	if next.AdviceAddress != earlier.AdviceAddress {
		h.advisor.Store(platform.NewAdvisor(next.AdviceAddress))
	}
	if next.MachinesAddress != earlier.MachinesAddress {
		h.machines.Store(platform.NewMachineClient(next.MachinesAddress))
	}
	h.log.Info("front: settings changed")
	if next.WithTenureSettingsOf(earlier) == next {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	h.resign(ctx)
}

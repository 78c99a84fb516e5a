package front

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/backlog"
	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/server"
	"github.com/vanillaquay/vanillaquay/timer"
)

const (
	// defaultMemory, in bytes, and defaultDescriptors apply if the settings name no limits: those of
	// the smallest hosts.
	defaultMemory      = 184 << 20
	defaultDescriptors = 4100
	// refusalLogInterval is the interval at which refused and dropped requests are logged.
	refusalLogInterval = time.Second
)

// limitsOf derives the limits of a process from its settings.
func limitsOf(s platform.Settings) server.Limits {
	memory, descriptors := s.MemoryLimit, s.MaxDescriptors
	if memory <= 0 {
		memory = defaultMemory
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	return server.LimitsOf(memory, descriptors)
}

// applyLimits puts the limits of the settings in force.
func (h *Host) applyLimits() {
	l := limitsOf(h.settings())
	h.requestMemory.SetLimit(l.RequestBytes)
	h.hub.Memory.SetLimit(l.LinkBytes)
	h.servers.callers.LimitConnections(l.Callers)
	h.servers.links.LimitConnections(l.Links)
	if o := h.localOwner(); o != nil {
		h.limitBacklog(o)
	}
}

// limitBacklog bounds the jobs of a cell by what this host and every other member can hold.
func (h *Host) limitBacklog(o *scheduler.Owner) {
	own := h.settings().MemoryLimit
	if own <= 0 {
		own = defaultMemory
	}
	o.SetBacklogLimit(backlog.LimitOf(min(own, h.members.leastMemory())))
}

// refusals counts what was refused to callers for want of memory, connections or time.
type refusals struct {
	ConnectionsRefused, ConnectionsEvicted, RequestsDropped, RequestsRefused, BodiesTooSlow int64
}

func (h *Host) refusals() refusals {
	requests, connections := h.requestMemory.Stats(), &h.servers.callers.Counters
	return refusals{
		ConnectionsRefused: connections.ConnectionsRefused.Load(), ConnectionsEvicted: connections.ConnectionsEvicted.Load(),
		RequestsDropped: requests.Dropped, RequestsRefused: requests.Refused,
		BodiesTooSlow: connections.BodiesTooSlow.Load() + h.ingress.LateBodies.Load(),
	}
}

// logRefusals logs the counts of refusals whenever they have changed. Single refusals are not
// logged, as an attack would fill the log.
func (h *Host) logRefusals(ctx context.Context) {
	var logged refusals
	timer.Every(ctx, refusalLogInterval, func(time.Time) {
		counted := h.refusals()
		if counted == logged {
			return
		}
		h.log.WithFields(logrus.Fields{
			"connections_refused": counted.ConnectionsRefused - logged.ConnectionsRefused,
			"connections_evicted": counted.ConnectionsEvicted - logged.ConnectionsEvicted,
			"requests_dropped":    counted.RequestsDropped - logged.RequestsDropped,
			"requests_refused":    counted.RequestsRefused - logged.RequestsRefused,
			"bodies_too_slow":     counted.BodiesTooSlow - logged.BodiesTooSlow,
			"connections":         h.servers.callers.OpenConnections(),
			"held_bytes":          h.requestMemory.Stats().Held,
		}).Warn("front: callers refused or dropped")
		logged = counted
	})
}

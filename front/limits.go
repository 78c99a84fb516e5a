package front

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/server"
	"github.com/vanillaquay/vanillaquay/timer"
)

const (
	// defaultMemory and defaultDescriptors apply if the settings name no limits: those of the
	// smallest hosts.
	defaultMemory      = 184 << 20
	defaultDescriptors = 4100
	// fileDescriptors is the number of descriptors that are kept for files.
	fileDescriptors = 200
	// maxProbeConnections bounds the connections of the load balancer, and those for metrics.
	maxProbeConnections = 32
	// otherDescriptors is the number of descriptors that are neither for callers nor for links: those
	// of files, probes, and connections of the four servers that are being closed.
	otherDescriptors = fileDescriptors + 2*maxProbeConnections + 4*server.MaxClosing
	// callerShare and linkShare are the shares of the other descriptors that connections of
	// callers and links from other hosts may take: 1,886 and 943 of 4,100 descriptors. In a cell of
	// 300 hosts 643 of the latter stay free, so that an owner has 1,586 for its links to the
	// others and its connections to workers and the store.
	callerShare, linkShare = 0.5, 0.25
	// connectionMemoryShare is the share of the memory that connections of callers may take, at
	// connectionBytes each: the goroutines and buffers of a request, for which 16 to 27 KB were
	// measured, and the receive buffer. A host with 184 MB has 905 such connections.
	connectionMemoryShare = 0.25
	connectionBytes       = 28<<10 + server.ReceiveBufferBytes
	// requestMemoryShare is the share of the memory that the requests of callers may hold while
	// they arrive and are handled. Until garbage is collected they take twice that.
	requestMemoryShare = 0.125
	// queueMemoryShare is the share of the memory that messages of one kind from other hosts may
	// take until they are handled, and that jobs may take which wait for the event loop of the owner.
	// 300 hosts with callers that send the largest jobs would fill any owner's memory.
	queueMemoryShare = 0.0625
	// refusalLogInterval is the interval at which refused and dropped requests are logged.
	refusalLogInterval = time.Second
)

// limits bounds what callers and other hosts can take of a process.
type limits struct {
	// requestBytes bounds the memory that requests of callers hold.
	requestBytes int64
	// queuedBytes bounds messages of a kind that wait, and jobs that wait for the event loop.
	queuedBytes int64
	// callers and links bound connections.
	callers, links int
}

// limitsOf derives the limits of a process from its settings.
func limitsOf(s platform.Settings) limits {
	memory, descriptors := s.MemoryLimit, s.MaxDescriptors
	if memory <= 0 {
		memory = defaultMemory
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	sockets := float64(max(1, descriptors-otherDescriptors))
	return limits{
		requestBytes: int64(requestMemoryShare * float64(memory)),
		queuedBytes:  int64(queueMemoryShare * float64(memory)),
		callers:      max(1, int(min(callerShare*sockets, connectionMemoryShare*float64(memory)/connectionBytes))),
		links:        max(1, int(linkShare*sockets)),
	}
}

// applyLimits puts the limits of the settings in force.
func (h *Host) applyLimits() {
	l := limitsOf(h.settings())
	h.requestMemory.SetLimit(l.requestBytes)
	h.servers.callers.LimitConnections(l.callers)
	h.servers.links.LimitConnections(l.links)
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

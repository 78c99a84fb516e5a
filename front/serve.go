package front

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/mirror"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/server"
	"github.com/vanillaquay/vanillaquay/task"
)

const (
	// balancerDrainDelay is how long the balancer may send new connections after this host
	// has reported that it is not ready: two polls, at one a second.
	balancerDrainDelay = 2200 * time.Millisecond
	// stopMargin is the part of the grace period of a stop that is kept in reserve.
	stopMargin = 500 * time.Millisecond
	// readyGrace is how long a host that cannot reach an owner stays ready; a takeover
	// takes some 2 s.
	readyGrace = 4 * time.Second
	// headerTimeout bounds the time to read the header of a request, and idleTimeout the time
	// between two requests on a connection. Callers send a header within 3 s, and leave a
	// connection idle for 15 s at most.
	headerTimeout = 5 * time.Second
	idleTimeout   = 20 * time.Second
	// unreadTimeout bounds the time for a request whose body is not read, such as one without a
	// queue. Bodies that are read have a limit of their own.
	unreadTimeout = 10 * time.Second
	// MetricsPort and MetricsPath are the port and the path of the metrics, which are
	// served as text. ExplainPath is the path of explanations at the same port.
	MetricsPort = 9464
	MetricsPath = "/metrics"
	ExplainPath = "/explain"
)

// servers holds the servers of a host.
type servers struct {
	// callers serves callers, probes the load balancer, links other hosts.
	callers, probes, links, metrics *server.Server
}

// newServers returns the servers of a host, which do not listen yet.
func (h *Host) newServers() servers {
	ready := chi.NewRouter()
	ready.Get(platform.PathReady, h.serveReady)
	links := chi.NewRouter()
	links.Handle(peer.Path, h.hub)
	links.Handle(mirror.Path, h.operatorTable)
	debug := chi.NewRouter()
	debug.Get(MetricsPath, h.serveMetrics)
	debug.Get("/dump", h.serveDump)
	debug.Post(ExplainPath, h.serveExplain)
	s := servers{callers: newServer(h.ingress), probes: newServer(ready), links: newServer(links), metrics: newServer(debug)}
	s.callers.Memory = h.requestMemory
	s.probes.LimitConnections(server.MaxProbeConnections)
	s.metrics.LimitConnections(server.MaxProbeConnections)
	return s
}

// startServers starts all servers, and returns those for callers and for the balancer.
func (h *Host) startServers() ([]*server.Server, error) {
	settings := h.settings()
	for _, each := range []struct {
		server  *server.Server
		address string
		listen  func(address string) (net.Listener, error)
	}{
		{h.servers.callers, settings.CallerAddress, server.Listen},
		{h.servers.probes, settings.ReadyAddress, server.Listen},
		{h.servers.links, net.JoinHostPort(settings.IP, strconv.Itoa(settings.PeerPort)), listen},
		{h.servers.metrics, net.JoinHostPort(settings.IP, strconv.Itoa(MetricsPort)), server.Listen},
	} {
		listener, err := each.listen(each.address)
		if err != nil {
			return nil, errors.Annotatef(err, "listening at %s", each.address)
		}
		h.serve(each.server, listener)
	}
	return []*server.Server{h.servers.callers, h.servers.probes}, nil
}

// listen opens an address for links, which need the large receive buffers of the system.
func listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// newServer returns a server for a handler.
func newServer(handler http.Handler) *server.Server {
	return &server.Server{Server: http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: server.MaxHeaderBytes,
		ReadTimeout: unreadTimeout, IdleTimeout: idleTimeout,
	}}
}

// serve starts a server.
func (h *Host) serve(s *server.Server, listener net.Listener) {
	h.background.Add(1)
	go func() {
		defer h.background.Done()
		if err := s.Serve(listener); err != nil {
			h.log.WithError(err).WithField("address", listener.Addr().String()).Error("front: server failed")
		}
	}()
	h.allServers = append(h.allServers, s)
}

// serveReady reports to the balancer whether this host accepts calls.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !h.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (h *Host) isReady() bool {
	if h.stopping.Load() {
		return false
	}
	if _, ok := h.forwarder.Catalogue(); !ok {
		return false
	}
	now := clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.owner != nil || now-h.link.LastHeard < readyGrace
}

// serveMetrics writes counters and latency histograms, one line with name and value each.
func (h *Host) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	line := func(name string, value any) { fmt.Fprintf(w, "vanillaquay_%s %v\n", name, value) }
	line("jobs_accepted_total", h.counters.Accepted.Load())
	line("jobs_refused_total", h.counters.Refused.Load())
	line("jobs_refused_backlog_total", h.counters.BacklogRefused.Load())
	line("backlog_bytes", h.counters.BacklogBytes.Load())
	line("missing_keys_total", h.ingress.MissingKeys.Load())
	line("unknown_keys_total", h.ingress.UnknownKeys.Load())
	line("withdrawn_keys_total", h.counters.WithdrawnKeys.Load())
	line("configuration_version", h.forwarder.CatalogueVersion())
	line("queries_waited_total", h.counters.WaitedQueries.Load())
	line("queries_ended_total", h.counters.EndedQueries.Load())
	line("questions_divided_total", h.counters.DividedQuestions.Load())
	line("unknown_cancels_total", h.counters.UnknownCancels.Load())
	line("starts_total", h.counters.Starts.Load())
	line("stops_total", h.counters.Stops.Load())
	line("looks_total", h.counters.Holds.Load())
	line("carried_calls_total", h.relay.Calls.Load())
	line("carried_batches_total", h.relay.Batches.Load())
	line("fenced_total", h.counters.Fenced.Load())
	line("events_dropped_total", h.counters.EventsDropped.Load())
	line("rejected_rows_total", h.counters.RejectedRows.Load())
	line("store_calls_total", h.store.Calls.Load())
	line("store_read_bytes_total", h.store.ReadBytes.Load())
	line("store_read_bytes_lost_total", h.store.LostReadBytes.Load())
	line("configuration_from_hosts_total", h.operatorTable.FromHosts.Load())
	line("configuration_asks_failed_total", h.operatorTable.FailedAsks.Load())
	line("takeovers_total", h.takeovers.Load())
	refused, requests := h.refusals(), h.requestMemory.Stats()
	line("connections_refused_total", refused.ConnectionsRefused)
	line("connections_evicted_total", refused.ConnectionsEvicted)
	line("requests_dropped_total", refused.RequestsDropped)
	line("requests_refused_total", refused.RequestsRefused)
	line("bodies_too_slow_total", refused.BodiesTooSlow)
	line("caller_connections", h.servers.callers.OpenConnections())
	line("request_bytes", requests.Held)
	line("request_bytes_limit", requests.Limit)
	line("heap_bytes", memory.HeapAlloc)
	line("system_bytes", memory.Sys)
	line("goroutines", runtime.NumGoroutine())
	if owner := h.localOwner(); owner != nil {
		for _, s := range owner.Organisations() {
			writeOrganisation(line, s)
		}
	}
	for name, s := range map[string]fmt.Stringer{"commit": &h.counters.Commit, "order": &h.counters.Order} {
		line(name+"_latency", s)
	}
}

// writeOrganisation writes the metrics of an organisation, which only the owner has.
func writeOrganisation(line func(name string, value any), s scheduler.OrganisationStatus) {
	for _, m := range []struct {
		name  string
		value any
	}{
		{"weight", s.Weight},
		{"used_processors", float64(s.Used.Processors) / float64(task.Processor)}, {"limit_processors", float64(s.Limit.Processors) / float64(task.Processor)},
		{"used_memory_bytes", s.Used.Memory}, {"limit_memory_bytes", s.Limit.Memory},
		{"used_accelerators", s.Used.Accelerators}, {"limit_accelerators", s.Limit.Accelerators},
		{"held_back_steps", s.HeldBack},
		{"jobs_within_share_total", s.Within}, {"jobs_beyond_share_total", s.Beyond}, {"jobs_refused_total", s.Refused},
	} {
		line(fmt.Sprintf("organisation_%s{organisation=%q}", m.name, s.Name), m.value)
	}
}

// serveDump writes the state of the process.
func (h *Host) serveDump(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	lease, owner := h.lease, h.owner
	h.mu.Unlock()
	var forecasts []cell.Forecast
	var organisations []scheduler.OrganisationStatus
	if owner != nil {
		forecasts, organisations = owner.Forecasts(), owner.Organisations()
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(map[string]any{
		"Host": h.settings().Host, "Incarnation": h.incarnation, "Owner": lease.Owner, "Fence": lease.Fence, "Owns": owner != nil, "Forecasts": forecasts, "Organisations": organisations,
		"Members": h.members.names(), "Links": h.hub.Stats(), "Settings": h.settings(), "ConfigurationVersion": h.forwarder.CatalogueVersion(),
	}); err != nil {
		h.log.WithError(err).Warn("front: dump not written")
	}
}

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

	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/server"
)

const (
	// balancerDelay is how long the balancer may send new connections after this
	// host has said that it isn't ready: two looks, one a second.
	balancerDelay = 2200 * time.Millisecond
	// stopMargin is kept of the time to stop.
	stopMargin = 500 * time.Millisecond
	// readyGrace is how long a host without an owner in reach stays ready; a
	// takeover takes some 2 s.
	readyGrace = 4 * time.Second
	// headerTimeout bounds the reading of a call's header.
	headerTimeout = 5 * time.Second
	// MetricsPort and MetricsPath are where metrics are served as text.
	MetricsPort = 9464
	MetricsPath = "/metrics"
)

// listen opens all servers.
func (h *Host) listen() ([]*server.Server, error) {
	callers, err := h.serve(h.settings().CallerAddress, &platform.Ingress{Intake: h.desk})
	if err != nil {
		return nil, err
	}
	ready := chi.NewRouter()
	ready.Get(platform.PathReady, h.ready)
	balancer, err := h.serve(h.settings().ReadyAddress, ready)
	if err != nil {
		return nil, err
	}
	links := chi.NewRouter()
	links.Handle(peer.Path, h.hub)
	if _, err := h.serve(net.JoinHostPort(h.settings().IP, strconv.Itoa(h.settings().PeerPort)), links); err != nil {
		return nil, err
	}
	debug := chi.NewRouter()
	debug.Get(MetricsPath, h.metrics)
	debug.Get("/dump", h.dump)
	if _, err := h.serve(net.JoinHostPort(h.settings().IP, strconv.Itoa(MetricsPort)), debug); err != nil {
		return nil, err
	}
	return []*server.Server{callers, balancer}, nil
}

func (h *Host) serve(address string, handler http.Handler) (*server.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listening at %s", address)
	}
	opened := &server.Server{Server: http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}}
	h.duties.Add(1)
	go func() {
		defer h.duties.Done()
		if err := opened.Serve(listener); err != nil {
			h.log.WithError(err).WithField("address", address).Error("front: server ended")
		}
	}()
	h.closers = append(h.closers, opened)
	return opened, nil
}

// ready tells the balancer whether this host takes calls.
func (h *Host) ready(w http.ResponseWriter, _ *http.Request) {
	if !h.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (h *Host) isReady() bool {
	if h.leaving.Load() {
		return false
	}
	if _, ok := h.desk.Catalogue(); !ok {
		return false
	}
	now := clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.owner != nil || now-h.link.Heard < readyGrace
}

// metrics writes counters and latency histograms as lines of a name and a value.
func (h *Host) metrics(w http.ResponseWriter, _ *http.Request) {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	line := func(name string, value any) { fmt.Fprintf(w, "vanillaquay_%s %v\n", name, value) }
	line("jobs_accepted_total", h.count.Accepted.Load())
	line("jobs_refused_total", h.count.Refused.Load())
	line("starts_total", h.count.Starts.Load())
	line("stops_total", h.count.Stops.Load())
	line("looks_total", h.count.Holds.Load())
	line("carried_calls_total", h.relay.Calls.Load())
	line("carried_batches_total", h.relay.Batches.Load())
	line("fenced_total", h.count.Fenced.Load())
	line("events_dropped_total", h.count.EventsDropped.Load())
	line("store_calls_total", h.store.Calls.Load())
	line("takeovers_total", h.takeovers.Load())
	line("heap_bytes", memory.HeapAlloc)
	line("system_bytes", memory.Sys)
	line("goroutines", runtime.NumGoroutine())
	for name, s := range map[string]fmt.Stringer{"commit": &h.count.Commit, "order": &h.count.Order} {
		line(name+"_latency", s)
	}
}

// dump writes the state of the process.
func (h *Host) dump(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	watcher, own := h.watcher, h.owner != nil
	h.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(map[string]any{
		"Host": h.settings().Host, "Incarnation": h.incarnation, "Owner": watcher.Owner, "Fence": watcher.Fence, "Owns": own,
		"Members": h.members.names(), "Links": h.hub.Stats(), "Settings": h.settings(),
	}); err != nil {
		h.log.WithError(err).Warn("front: dump not written")
	}
}

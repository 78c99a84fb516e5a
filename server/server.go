package server

import (
	"context"
	"crypto/tls"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/budget"
	"github.com/vanillaquay/vanillaquay/timer"
)

const (
	// firstRequestTimeout is how long Drain waits for the first request on a new
	// connection. A client usually sends at once after it connects; one that opens spare
	// connections may never send.
	firstRequestTimeout = time.Second
	// drainPollInterval is the interval at which Drain checks for pending requests.
	drainPollInterval = 5 * time.Millisecond
)

// Server is an HTTP server. The zero value is ready and has no limits. It is safe for concurrent
// use.
//
// http.Server.Shutdown closes a new connection without an answer if it reads the first
// request only after Shutdown was called; the client can't know whether the request
// was carried out. Drain answers such requests too.
type Server struct {
	http.Server
	// Memory bounds what the requests of all clients hold while they arrive and are handled. It
	// must not change after Serve; nil is no limit.
	Memory *budget.Budget
	// BodyTimeout bounds the time for a body to arrive. It must not change after Serve; 0 is 3 s, and
	// the time at 64 KiB/s for a larger body.
	BodyTimeout time.Duration
	// Counters counts what exceeded the limits.
	Counters Counters

	mu       sync.Mutex
	listener net.Listener
	// maxConnections bounds the open connections; 0 is no limit.
	maxConnections int
	// open holds the open connections, except those that are being closed in favour of others.
	open map[*connection]struct{}
	// closing holds a value for each of the latter, MaxClosing at most.
	closing chan struct{}
	// openedAt holds the connections without a request so far, by time of opening.
	openedAt map[net.Conn]time.Time
	// active holds the connections with a request in flight.
	active map[net.Conn]bool
}

// Serve accepts requests until Drain or Close, over TLS if TLSConfig is set. It sets the server's
// ConnState. The listener must not be one of TLS: limits apply to what clients send.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener, s.openedAt, s.active = l, map[net.Conn]time.Time{}, map[net.Conn]bool{}
	s.open, s.closing = map[*connection]struct{}{}, make(chan struct{}, MaxClosing)
	limited := s.Memory != nil || s.maxConnections > 0
	s.mu.Unlock()
	s.ConnState = s.trackState
	if limited {
		s.ConnContext, s.Handler = withConnection(s.ConnContext), s.limitRequests(s.Handler)
		l = limitedListener{Listener: l, server: s}
	}
	if s.TLSConfig != nil {
		l = tls.NewListener(l, s.TLSConfig)
	}
	if err := s.Server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return errors.Trace(err)
	}
	return nil
}

// trackState records the state of a connection.
func (s *Server) trackState(c net.Conn, state http.ConnState) {
	if limited, ok := connectionOf(c); ok {
		switch state {
		case http.StateIdle:
			limited.changePhase(idle)
		case http.StateHijacked:
			limited.changePhase(hijacked)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.openedAt, c)
	delete(s.active, c)
	switch state {
	case http.StateNew:
		s.openedAt[c] = time.Now()
	case http.StateActive:
		s.active[c] = true
	}
}

// Drain stops accepting connections, waits until the requests on open connections have
// been answered, and closes them. It returns the context's error if that ends first.
func (s *Server) Drain(ctx context.Context) error {
	s.SetKeepAlivesEnabled(false)
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	if l != nil {
		if err := l.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			return errors.Annotate(err, "closing the listener")
		}
	}
	for s.requestsPending(time.Now()) && timer.Sleep(ctx, drainPollInterval) {
		continue
	}
	s.closeUnused()
	return errors.Trace(s.Shutdown(ctx))
}

// closeUnused closes connections without a request so far, since Shutdown would wait
// 5 s for them.
func (s *Server) closeUnused() {
	// Closing a connection removes it from open, under s.mu.
	for _, c := range s.unused() {
		// The client may have closed it already.
		_ = c.Close()
	}
}

func (s *Server) unused() []net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.openedAt))
}

// requestsPending reports whether a request is in flight, or may still arrive on a new
// connection.
func (s *Server) requestsPending(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.active) > 0 {
		return true
	}
	for _, opened := range s.openedAt {
		if now.Sub(opened) < firstRequestTimeout {
			return true
		}
	}
	return false
}

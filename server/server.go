package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/timer"
)

const (
	// firstRequestTimeout is how long a new connection may take to carry its first call. A
	// client that has connected sends at once; one that keeps connections in reserve
	// never does.
	firstRequestTimeout = time.Second
	// drainPollInterval is the pause between two looks at what is under way.
	drainPollInterval = 5 * time.Millisecond
)

// Server is an HTTP server. The zero value is ready. It is safe for concurrent use.
//
// http.Server.Shutdown closes a new connection whose first request it reads after it
// was called, without an answer; the client can't know whether the call was carried
// out. Finish takes such calls too.
type Server struct {
	http.Server

	mu       sync.Mutex
	listener net.Listener
	// openedAt holds when each connection was opened that has carried no call yet.
	openedAt map[net.Conn]time.Time
	// active holds the connections with a call under way.
	active map[net.Conn]bool
}

// Serve takes calls until Finish or Close. It takes ConnState of the server.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener, s.openedAt, s.active = l, map[net.Conn]time.Time{}, map[net.Conn]bool{}
	s.mu.Unlock()
	s.ConnState = s.trackState
	if err := s.Server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return errors.Trace(err)
	}
	return nil
}

// trackState follows the state of a connection.
func (s *Server) trackState(c net.Conn, state http.ConnState) {
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

// Drain takes no more connections, waits until the calls of those that are open have
// been answered, and closes them. The error is that of the context if it ends before.
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

// closeUnused closes the connections that have carried no call, for which Shutdown
// would wait 5 s.
func (s *Server) closeUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.openedAt {
		// One that the client has closed is no fault.
		_ = c.Close()
	}
}

// requestsPending reports whether a call is under way, or may come on a new connection.
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

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
	// firstCall is how long a new connection may take to carry its first call. A
	// client that has connected sends at once; one that keeps connections in reserve
	// never does.
	firstCall = time.Second
	// finishPoll is the pause between two looks at what is under way.
	finishPoll = 5 * time.Millisecond
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
	// opened holds when each connection was opened that has carried no call yet.
	opened map[net.Conn]time.Time
	// busy holds the connections with a call under way.
	busy map[net.Conn]bool
}

// Serve takes calls until Finish or Close. It takes ConnState of the server.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener, s.opened, s.busy = l, map[net.Conn]time.Time{}, map[net.Conn]bool{}
	s.mu.Unlock()
	s.ConnState = s.note
	if err := s.Server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return errors.Trace(err)
	}
	return nil
}

// note follows the state of a connection.
func (s *Server) note(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.opened, c)
	delete(s.busy, c)
	switch state {
	case http.StateNew:
		s.opened[c] = time.Now()
	case http.StateActive:
		s.busy[c] = true
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
	for s.underWay(time.Now()) && timer.Sleep(ctx, finishPoll) {
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
	for c := range s.opened {
		// One that the client has closed is no fault.
		_ = c.Close()
	}
}

// underWay reports whether a call is under way, or may come on a new connection.
func (s *Server) underWay(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.busy) > 0 {
		return true
	}
	for _, opened := range s.opened {
		if now.Sub(opened) < firstCall {
			return true
		}
	}
	return false
}

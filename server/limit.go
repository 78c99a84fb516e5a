package server

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/vanillaquay/vanillaquay/budget"
	"github.com/vanillaquay/vanillaquay/clock"
)

// answerTime is how long an answer may take to be written before the connection may be closed for
// another one. Answers have some 100 bytes.
const answerTime = time.Second

// MaxClosing bounds the connections that are being closed in favour of others. They have
// descriptors beyond the limit of connections.
const MaxClosing = 16

// maxEvictionChecks bounds the connections that are asked for unread bytes before one is closed. A
// check is a system call.
const maxEvictionChecks = 8

// Counters counts what a server has refused to its clients. The zero value is ready.
type Counters struct {
	// ConnectionsRefused counts connections that were closed at once, and ConnectionsEvicted those
	// that were closed in favour of new ones.
	ConnectionsRefused, ConnectionsEvicted atomic.Int64
	// BodiesTooSlow counts requests whose body did not arrive in time.
	BodiesTooSlow atomic.Int64
}

// connectionKey is the key of a connection in the context of its requests.
type connectionKey struct{}

// limitedListener accepts the connections of a server within its limits.
type limitedListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener. Connections that find no room are closed.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.server.admit(accepted); c != nil {
			return c, nil
		}
		// The client may have closed it already.
		_ = accepted.Close()
	}
}

// admit returns a connection that was accepted, or nil if there is no room for it. At the limit it
// closes the connection whose client has used most of its time. Clients that leave requests
// unfinished, or send none, thus keep no connections from others. It is not safe for concurrent use.
func (s *Server) admit(accepted net.Conn) *connection {
	if s.isFull() {
		// Accepting faster than connections close would exceed the descriptors.
		s.closing <- struct{}{}
		if !s.evictOne(clock.Now()) {
			<-s.closing
			s.Counters.ConnectionsRefused.Add(1)
			return nil
		}
	}
	c := &connection{Conn: accepted, server: s, since: clock.Now(), aborted: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = struct{}{}
	return c
}

func (s *Server) isFull() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxConnections > 0 && len(s.open) >= s.maxConnections
}

// evictOne closes a connection that waits for its client, and reports whether there was one. The
// caller has put a value into s.closing, which is taken out when the connection is closed.
func (s *Server) evictOne(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.longestWaited(now)
	if c == nil || !c.evict() {
		return false
	}
	delete(s.open, c)
	s.Counters.ConnectionsEvicted.Add(1)
	go func() {
		// Close waits until the goroutine of the connection has noticed, which closes it again.
		_ = c.Conn.Close()
		<-s.closing
	}()
	return true
}

// longestWaited returns the connection whose client has used the largest share of its time, or nil
// if there is none that waits for its client. The caller holds s.mu.
func (s *Server) longestWaited(now time.Duration) *connection {
	var passed []*connection
	for range maxEvictionChecks {
		var longest *connection
		most := 0.0
		for c := range s.open {
			if share, waits := c.waited(now); waits && (longest == nil || share > most) && !slices.Contains(passed, c) {
				longest, most = c, share
			}
		}
		if longest == nil || !longest.hasUnreadRequest() {
			return longest
		}
		passed = append(passed, longest)
	}
	return nil
}

func (s *Server) forget(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// LimitConnections bounds the connections that are open at once; 0 is no limit. Those beyond a
// lowered limit stay open.
func (s *Server) LimitConnections(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxConnections = limit
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// withConnection returns a function that returns the context of the requests of a connection. It is
// derived from what next returns, unless next is nil.
func withConnection(next func(context.Context, net.Conn) context.Context) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, c net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, c)
		}
		limited, ok := connectionOf(c)
		if !ok {
			return ctx
		}
		return context.WithValue(ctx, connectionKey{}, limited)
	}
}

// connectionOf returns the limited connection that carries a connection of package http.
func connectionOf(c net.Conn) (*connection, bool) {
	if encrypted, ok := c.(*tls.Conn); ok {
		c = encrypted.NetConn()
	}
	limited, ok := c.(*connection)
	return limited, ok
}

// limitRequests charges the requests of a handler to the budget of the server. Their contexts have
// the charges.
func (s *Server) limitRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connectionKey{}).(*connection)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		hasBody := r.Body != nil && r.Body != http.NoBody
		charge, ok := c.beginRequest(hasBody)
		defer c.endRequest(finishing)
		if !ok {
			// It was dropped, and its connection is closed.
			panic(http.ErrAbortHandler)
		}
		r = r.WithContext(budget.NewContext(r.Context(), charge))
		if hasBody {
			b := &body{ReadCloser: r.Body, connection: c, charge: charge, begun: time.Now()}
			if s.BodyTimeout > 0 {
				// A body that the handler does not read is discarded, for which package http sets no
				// deadline. An error means that the connection is closed.
				_ = c.SetReadDeadline(b.begun.Add(s.BodyTimeout))
			}
			r.Body = b
		}
		next.ServeHTTP(w, r)
	})
}

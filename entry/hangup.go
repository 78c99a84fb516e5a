package entry

import (
	"context"
	"net"
	"sync"

	"github.com/juju/errors"
)

// errHungUp is returned for a try whose caller has closed its connection.
const errHungUp = errors.ConstError("caller has hung up")

// callerListener accepts the connections of callers and detects which were closed by
// the other end. The connections pass through listeners that limit or encrypt them, so
// they are identified by their remote address. Use newCallerListener to make one.
type callerListener struct {
	net.Listener

	mu   sync.Mutex
	open map[string]*callerConn
}

// callerConn is a connection of a callerListener.
type callerConn struct {
	*net.TCPConn
	listener *callerListener
}

// connKey is the context key of a request's *callerConn.
type connKey struct{}

func newCallerListener(l net.Listener) *callerListener {
	return &callerListener{Listener: l, open: map[string]*callerConn{}}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return accepted, nil
	}
	c := &callerConn{TCPConn: tcp, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[tcp.RemoteAddr().String()] = c
	return c, nil
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	l, address := c.listener, c.RemoteAddr().String()
	l.mu.Lock()
	if l.open[address] == c {
		delete(l.open, address)
	}
	l.mu.Unlock()
	return c.TCPConn.Close()
}

// context returns the context for the requests of a connection.
func (l *callerListener) context(ctx context.Context, c net.Conn) context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	return context.WithValue(ctx, connKey{}, l.open[c.RemoteAddr().String()])
}

// hungUp reports whether the caller of a request has closed its connection, as far as
// this host's kernel knows now. The context of the request may end only later.
func hungUp(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok || c == nil {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	if err := raw.Control(func(descriptor uintptr) { closed = peerClosed(descriptor) }); err != nil {
		return true
	}
	return closed
}

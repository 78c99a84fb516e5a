package server

import (
	"bytes"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/vanillaquay/vanillaquay/budget"
	"github.com/vanillaquay/vanillaquay/clock"
)

const (
	// writeTimeout bounds each write. Answers have some 100 bytes, so that only a client that
	// doesn't read them takes longer.
	writeTimeout = 10 * time.Second
	// headerByteCost and headerLineCost are the memory that a header takes, in bytes: the text is
	// held twice while it is read, and a line becomes an entry of a map with two strings and a
	// list. Headers of 16,000 bytes in lines of 6 bytes took 100 bytes a line.
	headerByteCost, headerLineCost = 2, 128
)

// phase is what a connection does.
type phase int

const (
	// fresh: no byte of a request has arrived yet.
	fresh phase = iota
	// idle: a request has been answered, and no byte of the next one has arrived.
	idle
	// receivingHeader and receivingBody: a request arrives.
	receivingHeader
	receivingBody
	// handling: a request has arrived, and may have an effect.
	handling
	// finishing: the answer is being written, and what is left of the request discarded.
	finishing
	// hijacked: the connection is no longer one of HTTP.
	hijacked
	// evicted: the connection is being closed in favour of another one.
	evicted
)

// connection is a connection from a client. It is safe for concurrent use.
type connection struct {
	net.Conn
	server *Server

	mu    sync.Mutex
	phase phase
	// since is when the phase began.
	since time.Duration
	// aborted is closed when reads fail from now on.
	aborted chan struct{}
	// charge is that of the request that arrives or is handled, or nil.
	charge *budget.Charge
}

// Read implements net.Conn. It charges the bytes of headers; those of bodies are charged when
// they are decoded.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if !c.receivesHeader() {
		return n, err
	}
	cost := headerByteCost*n + headerLineCost*bytes.Count(p[:n], []byte{'\n'})
	charge := c.openCharge()
	if !charge.Receive(clock.Now(), int64(cost)) {
		c.abort()
		// Unlike others, this error is not answered with status 400.
		return 0, os.ErrDeadlineExceeded
	}
	if n == len(p) && charge.IsBusy() {
		// The header is large, as it fills the buffer.
		c.pause()
	}
	return n, err
}

// pause waits before the next read, unless the connection is aborted.
func (c *connection) pause() {
	timer := time.NewTimer(readPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.aborted:
	}
}

// receivesHeader reports whether bytes that have just been read are of the header of a request.
func (c *connection) receivesHeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == fresh || c.phase == idle {
		c.enter(receivingHeader)
	}
	return c.phase == receivingHeader
}

// openCharge returns the charge of the request, which it opens if need be, or nil if there is no
// budget. The budget calls abort while it is locked, so that c.mu must not be held here.
func (c *connection) openCharge() *budget.Charge {
	c.mu.Lock()
	charge := c.charge
	c.mu.Unlock()
	if charge != nil {
		return charge
	}
	charge = c.server.Memory.Open(c.abort)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.charge = charge
	return charge
}

// enter changes the phase. The caller holds c.mu.
func (c *connection) enter(p phase) { c.phase, c.since = p, clock.Now() }

// changePhase changes the phase, and reports false if the connection serves no requests any more.
func (c *connection) changePhase(p phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == hijacked || c.phase == evicted {
		return false
	}
	c.enter(p)
	return true
}

// evict changes the phase to evicted, unless a request has arrived meanwhile, which may have an
// effect.
func (c *connection) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == handling || c.phase == hijacked || c.phase == evicted {
		return false
	}
	c.enter(evicted)
	return true
}

// Write implements net.Conn.
func (c *connection) Write(p []byte) (int, error) {
	if c.isHijacked() {
		return c.Conn.Write(p)
	}
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// SetReadDeadline implements net.Conn. It has no effect once the connection is aborted.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isAborted() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *connection) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// CloseWrite closes the sending half, as http.Server does before it closes a connection on which
// it hasn't read everything, so that the client gets the answer.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.server.forget(c)
	c.endRequest(finishing)
	return c.Conn.Close()
}

// abort makes reads fail, so that the rest of a request is not waited for. The server then closes
// the connection. abort does not block, unlike Close, which waits for reads to return.
func (c *connection) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isAborted() {
		close(c.aborted)
	}
	// The error means that the connection is closed, so that reads fail as well.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

func (c *connection) isHijacked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == hijacked
}

// isAborted reports whether reads fail.
func (c *connection) isAborted() bool {
	select {
	case <-c.aborted:
		return true
	default:
		return false
	}
}

// beginRequest begins the handling of a request whose header has arrived. It returns its charge,
// and reports whether the request may have an effect once its body has arrived.
func (c *connection) beginRequest(hasBody bool) (charge *budget.Charge, ok bool) {
	charge = c.openCharge()
	if hasBody {
		return charge, c.changePhase(receivingBody)
	}
	return charge, charge.Complete() && c.changePhase(handling)
}

// endRequest closes the charge of the request, if there is one.
func (c *connection) endRequest(next phase) {
	c.mu.Lock()
	charge := c.charge
	c.charge = nil
	c.mu.Unlock()
	c.changePhase(next)
	charge.Close()
}

// hasUnreadRequest reports whether a part of the next request has arrived and has not been read.
// Its client waits for this process, which has too little processor time.
func (c *connection) hasUnreadRequest() bool {
	c.mu.Lock()
	phase := c.phase
	c.mu.Unlock()
	if phase != fresh && phase != idle {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	if err := raw.Control(func(fd uintptr) { unread, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }); err != nil {
		return false
	}
	return err == nil && unread > 0
}

// waited returns the share that a client has used of the time that it has for what the connection
// waits for, or false if the connection waits for nothing from the client.
func (c *connection) waited(now time.Duration) (float64, bool) {
	c.mu.Lock()
	phase, since := c.phase, c.since
	c.mu.Unlock()
	allowed := bodyGrace
	if c.server.BodyTimeout > 0 {
		allowed = c.server.BodyTimeout
	}
	switch phase {
	case handling, hijacked, evicted:
		return 0, false
	case fresh, receivingHeader:
		allowed = c.server.ReadHeaderTimeout
	case idle:
		allowed = c.server.IdleTimeout
	case finishing:
		if now-since < answerTime {
			return 0, false
		}
	}
	if allowed <= 0 {
		return 0, true
	}
	return float64(now-since) / float64(allowed), true
}

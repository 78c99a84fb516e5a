package server_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"github.com/vanillaquay/vanillaquay/budget"
	"github.com/vanillaquay/vanillaquay/server"
)

const (
	kib = 1 << 10
	// deadline bounds every wait; it is no requirement.
	deadline = 20 * time.Second
	// bodyBytes is the declared length of the bodies that clients send.
	bodyBytes = 64 * kib
)

// limitedServer is a server whose handler reads bodies.
type limitedServer struct {
	*server.Server
	c       *qt.C
	address string
	// readErrors has the error of each body, or nil.
	readErrors chan error
}

// startReading starts a server with a handler that reads bodies, within a number of connections and
// a budget of bytes.
func startReading(c *qt.C, connections int, memory int64) *limitedServer {
	s := &server.Server{Memory: budget.New(memory)}
	s.LimitConnections(connections)
	readErrors := make(chan error, 100)
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		readErrors <- err
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	l := startLimited(c, s)
	l.readErrors = readErrors
	return l
}

// startLimited starts a server.
func startLimited(c *qt.C, s *server.Server) *limitedServer {
	s.ReadHeaderTimeout, s.IdleTimeout = deadline, deadline
	l, err := server.Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	c.Cleanup(func() {
		_ = s.Close()
		c.Check(<-served, qt.IsNil)
	})
	return &limitedServer{Server: s, c: c, address: l.Addr().String()}
}

// dial opens a connection and sends text.
func (s *limitedServer) dial(text string) net.Conn {
	connection, err := net.Dial("tcp", s.address)
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(func() { _ = connection.Close() })
	s.c.Assert(connection.SetDeadline(time.Now().Add(deadline)), qt.IsNil)
	_, err = io.WriteString(connection, text)
	s.c.Assert(err, qt.IsNil)
	return connection
}

// post returns the text of a request that lacks the last bytes of its body.
func post(missing int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("a", bodyBytes-missing))
}

// status returns the status of the answer on a connection, or 0 if it was closed.
func status(connection net.Conn) int {
	r, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0
	}
	_ = r.Body.Close()
	return r.StatusCode
}

func (s *limitedServer) await(what string, condition func() bool) {
	s.c.Helper()
	for end := time.Now().Add(deadline); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	s.c.Fatalf("%s: not within %s", what, deadline)
}

// Bodies that stop short of their end must not keep memory from others, and their clients must be
// told that nothing was done.
func TestUnfinishedBodiesAreDropped(t *testing.T) {
	c := qt.New(t)
	s := startReading(c, 0, 8*bodyBytes)
	var stalled []net.Conn
	for i := range 8 {
		stalled = append(stalled, s.dial(post(1)))
		s.await("the body is read or others are dropped", func() bool {
			stats := s.Memory.Stats()
			return stats.Held+stats.Dropped*2*(bodyBytes-1) >= int64(i+1)*2*(bodyBytes-1)
		})
	}
	c.Assert(status(s.dial(post(0))), qt.Equals, http.StatusOK)
	c.Assert(s.Memory.Stats().Dropped > 0, qt.IsTrue)
	c.Assert(status(stalled[0]), qt.Equals, http.StatusServiceUnavailable)
	c.Assert(errors.Is(<-s.readErrors, server.ErrDropped), qt.IsTrue)
	for _, connection := range stalled {
		_ = connection.Close()
	}
	s.await("all memory is released", func() bool { return s.Memory.Stats().Held == 0 })
}

// Unfinished headers take memory as well.
func TestUnfinishedHeadersAreDropped(t *testing.T) {
	c := qt.New(t)
	s := startReading(c, 0, 256*kib)
	header := "GET / HTTP/1.1\r\nHost: entry\r\n" + strings.Repeat("a:\r\n", 500)
	var stalled []net.Conn
	for range 20 {
		stalled = append(stalled, s.dial(header))
	}
	s.await("headers are dropped", func() bool { return s.Memory.Stats().Dropped > 0 })
	c.Assert(status(s.dial(request)), qt.Equals, http.StatusOK)
	for _, connection := range stalled {
		_ = connection.Close()
	}
	s.await("all memory is released", func() bool { return s.Memory.Stats().Held == 0 })
}

// A body that stops must end its request even if there is no pressure.
func TestBodyThatStopsIsTooSlow(t *testing.T) {
	c := qt.New(t)
	s := startReading(c, 0, 0)
	c.Assert(status(s.dial(post(1))), qt.Equals, http.StatusServiceUnavailable)
	c.Assert(errors.Is(<-s.readErrors, server.ErrTooSlow), qt.IsTrue)
	c.Assert(s.Counters.BodiesTooSlow.Load(), qt.Equals, int64(1))
}

// Connections that send nothing must not keep connections from others.
func TestUnusedConnectionsAreClosedForNewOnes(t *testing.T) {
	c := qt.New(t)
	const limit = 4
	s := startReading(c, limit, 0)
	for range 3 * limit {
		s.dial("")
		c.Assert(status(s.dial(request)), qt.Equals, http.StatusOK)
		c.Assert(s.OpenConnections() <= limit, qt.IsTrue)
	}
	c.Assert(s.Counters.ConnectionsEvicted.Load() > 0, qt.IsTrue)
}

// A request that is being handled may have an effect, so its connection must not be closed for
// another one.
func TestHandledRequestKeepsItsConnection(t *testing.T) {
	c := qt.New(t)
	s := &server.Server{}
	s.LimitConnections(1)
	begun, release := make(chan struct{}), make(chan struct{})
	s.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(begun)
		<-release
	})
	l := startLimited(c, s)
	first := l.dial(request)
	<-begun
	c.Assert(status(l.dial(request)), qt.Equals, 0)
	close(release)
	c.Assert(status(first), qt.Equals, http.StatusOK)
	c.Assert(s.Counters.ConnectionsRefused.Load(), qt.Equals, int64(1))
}

// Bytes that wait in the receive buffer of a connection are memory of the host.
func TestUnreadBytesAreBounded(t *testing.T) {
	c := qt.New(t)
	l, err := server.Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	defer client.Close()
	c.Assert(client.SetWriteDeadline(time.Now().Add(300*time.Millisecond)), qt.IsNil)
	_, err = client.Write(make([]byte, 16<<20))
	c.Assert(err, qt.IsNotNil)
	accepted, err := l.Accept()
	c.Assert(err, qt.IsNil)
	defer accepted.Close()
	raw, err := accepted.(*net.TCPConn).SyscallConn()
	c.Assert(err, qt.IsNil)
	unread := 0
	c.Assert(raw.Control(func(fd uintptr) { unread, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }), qt.IsNil)
	c.Assert(err, qt.IsNil)
	c.Assert(unread > 0 && unread <= server.ReceiveBufferBytes, qt.IsTrue, qt.Commentf("%d bytes", unread))
}

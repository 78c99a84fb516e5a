package server_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/server"
)

const request = "GET / HTTP/1.1\r\nHost: entry\r\n\r\n"

// startServer starts a server whose requests take handlingTime, and returns its address.
func startServer(c *qt.C, handlingTime time.Duration) (*server.Server, string) {
	s := &server.Server{}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(handlingTime)
		_, _ = io.WriteString(w, "done")
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	c.Cleanup(func() {
		_ = s.Close()
		c.Check(<-served, qt.IsNil)
	})
	return s, l.Addr().String()
}

// connect returns a connection that the server has accepted.
func connect(c *qt.C, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	// Connections are accepted in order, so an answer on a later one shows that this one
	// has been accepted.
	response, err := http.Get("http://" + address)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)
	return conn
}

func readAnswer(c *qt.C, conn net.Conn) string {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return string(body)
}

// TestFirstRequestAfterDrainBeganIsAnswered connects before the drain begins and sends
// the first request after. Shutdown alone would close the connection without an answer.
func TestFirstRequestAfterDrainBeganIsAnswered(t *testing.T) {
	c := qt.New(t)
	s, address := startServer(c, 20*time.Millisecond)
	conn := connect(c, address)
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(context.Background()) }()
	waitUntilRefused(c, address)
	_, err := io.WriteString(conn, request)
	c.Assert(err, qt.IsNil)
	c.Assert(readAnswer(c, conn), qt.Equals, "done")
	c.Assert(<-drained, qt.IsNil)
}

// waitUntilRefused waits until the server refuses connections.
func waitUntilRefused(c *qt.C, address string) {
	for {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		c.Assert(conn.Close(), qt.IsNil)
		time.Sleep(time.Millisecond)
	}
}

// startRequest returns a connection with a request in flight.
func startRequest(c *qt.C, address string) net.Conn {
	conn := connect(c, address)
	_, err := io.WriteString(conn, request)
	c.Assert(err, qt.IsNil)
	time.Sleep(50 * time.Millisecond)
	return conn
}

func TestRequestInFlightIsAnswered(t *testing.T) {
	c := qt.New(t)
	s, address := startServer(c, 300*time.Millisecond)
	conn := startRequest(c, address)
	c.Assert(s.Drain(context.Background()), qt.IsNil)
	c.Assert(readAnswer(c, conn), qt.Equals, "done")
}

// TestUnusedConnectionDelaysDrainForABoundedTime checks that a spare connection that never
// carries a request delays the drain for a bounded time only.
func TestUnusedConnectionDelaysDrainForABoundedTime(t *testing.T) {
	c := qt.New(t)
	s, address := startServer(c, 0)
	conn := connect(c, address)
	c.Assert(s.Drain(context.Background()), qt.IsNil)
	_, err := conn.Read(make([]byte, 1))
	c.Assert(err, qt.Equals, io.EOF)
}

// Guards against a graceful stop that hangs: a server with limits closes a connection without a
// request.
func TestUnusedConnectionOfALimitedServerDoesNotBlockDrain(t *testing.T) {
	c := qt.New(t)
	s := &server.Server{Server: http.Server{Handler: http.NotFoundHandler()}}
	s.LimitConnections(10)
	l, err := server.Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() { _ = s.Serve(l) }()
	conn := connect(c, l.Addr().String())
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(context.Background()) }()
	select {
	case err := <-drained:
		c.Assert(err, qt.IsNil)
	case <-time.After(20 * time.Second):
		c.Fatal("Drain hangs")
	}
	_, err = conn.Read(make([]byte, 1))
	c.Assert(err, qt.Equals, io.EOF)
}

func TestDrainStopsWithTheContext(t *testing.T) {
	c := qt.New(t)
	s, address := startServer(c, 2*time.Second)
	startRequest(c, address)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	c.Assert(s.Drain(ctx), qt.ErrorIs, context.DeadlineExceeded)
}

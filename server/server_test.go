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

const call = "GET / HTTP/1.1\r\nHost: entry\r\n\r\n"

// started returns a server whose calls take a while, and its address.
func started(c *qt.C, length time.Duration) (*server.Server, string) {
	s := &server.Server{}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(length)
		_, _ = io.WriteString(w, "done")
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	c.Cleanup(func() {
		_ = s.Close()
		c.Check(<-ended, qt.IsNil)
	})
	return s, l.Addr().String()
}

// connected returns a connection that the server has taken in.
func connected(c *qt.C, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	// The server answers a call on a later connection once it has taken this one.
	response, err := http.Get("http://" + address)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)
	return conn
}

func answer(c *qt.C, conn net.Conn) string {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return string(body)
}

// The first call of a connection that was taken in before the end began is read only
// then: a client has connected and its request is on the way.
func TestFirstCallAfterTheEndBegan(t *testing.T) {
	c := qt.New(t)
	s, address := started(c, 20*time.Millisecond)
	conn := connected(c, address)
	finished := make(chan error, 1)
	go func() { finished <- s.Drain(context.Background()) }()
	refused(c, address)
	_, err := io.WriteString(conn, call)
	c.Assert(err, qt.IsNil)
	c.Assert(answer(c, conn), qt.Equals, "done")
	c.Assert(<-finished, qt.IsNil)
}

// refused waits until the server takes no connections.
func refused(c *qt.C, address string) {
	for {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		c.Assert(conn.Close(), qt.IsNil)
		time.Sleep(time.Millisecond)
	}
}

// calling returns a connection with a call under way.
func calling(c *qt.C, address string) net.Conn {
	conn := connected(c, address)
	_, err := io.WriteString(conn, call)
	c.Assert(err, qt.IsNil)
	time.Sleep(50 * time.Millisecond)
	return conn
}

func TestCallUnderWayIsAnswered(t *testing.T) {
	c := qt.New(t)
	s, address := started(c, 300*time.Millisecond)
	conn := calling(c, address)
	c.Assert(s.Drain(context.Background()), qt.IsNil)
	c.Assert(answer(c, conn), qt.Equals, "done")
}

// A connection in reserve that never carries a call holds the end up for a bounded
// time only.
func TestConnectionWithoutACall(t *testing.T) {
	c := qt.New(t)
	s, address := started(c, 0)
	conn := connected(c, address)
	c.Assert(s.Drain(context.Background()), qt.IsNil)
	_, err := conn.Read(make([]byte, 1))
	c.Assert(err, qt.Equals, io.EOF)
}

func TestEndOfTheContext(t *testing.T) {
	c := qt.New(t)
	s, address := started(c, 2*time.Second)
	calling(c, address)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	c.Assert(s.Drain(ctx), qt.ErrorIs, context.DeadlineExceeded)
}

package proxytest_test

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/proxytest"
)

// startEchoServer starts a server that sends back what it receives, and returns its
// address.
func startEchoServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				// An error ends the connection.
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

// exchange sends a byte over a new connection through a proxy and waits for its echo.
func exchange(t *testing.T, p *proxytest.Proxy) error {
	c, err := net.Dial("tcp", p.Address())
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	_, err = io.ReadFull(c, make([]byte, 1))
	return err
}

func TestDelay(t *testing.T) {
	p := proxytest.New(t, startEchoServer(t))
	defer p.Close()
	const delay = 50 * time.Millisecond
	p.SetDelay(delay)
	begun := time.Now()
	qt.Assert(t, exchange(t, p), qt.IsNil)
	// The byte is delayed once in each direction.
	qt.Assert(t, time.Since(begun) >= 2*delay, qt.IsTrue)
}

// TestCutAndReconnect checks that Cut also closes connections after earlier ones have
// ended and been removed.
func TestCutAndReconnect(t *testing.T) {
	p := proxytest.New(t, startEchoServer(t))
	defer p.Close()
	for range 3 {
		qt.Assert(t, exchange(t, p), qt.IsNil)
		p.Cut(true)
		qt.Assert(t, exchange(t, p), qt.IsNotNil)
		p.Cut(false)
	}
	qt.Assert(t, exchange(t, p), qt.IsNil)
	qt.Assert(t, p.AcceptedCount(), qt.Equals, 4)
}

func TestListenFails(t *testing.T) {
	p := proxytest.New(t, startEchoServer(t))
	defer p.Close()
	_, err := proxytest.Listen(p.Address(), "127.0.0.1:1")
	qt.Assert(t, err, qt.IsNotNil)
}

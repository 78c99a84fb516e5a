package proxytest_test

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/proxytest"
)

// echo returns the address of a server that sends back what it gets.
func echo(t *testing.T) string {
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

// exchange sends a byte through a proxy over a new connection and waits for it.
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
	p := proxytest.New(t, echo(t))
	defer p.Close()
	const delay = 50 * time.Millisecond
	p.SetDelay(delay)
	begun := time.Now()
	qt.Assert(t, exchange(t, p), qt.IsNil)
	// Once there, and once back.
	qt.Assert(t, time.Since(begun) >= 2*delay, qt.IsTrue)
}

// A cut proxy ends connections, also after earlier ones have been forgotten.
func TestCutAndBack(t *testing.T) {
	p := proxytest.New(t, echo(t))
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
	p := proxytest.New(t, echo(t))
	defer p.Close()
	_, err := proxytest.Listen(p.Address(), "127.0.0.1:1")
	qt.Assert(t, err, qt.IsNotNil)
}

package proxytest

import (
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"
)

// bufferSize is the maximum number of bytes forwarded at once.
const bufferSize = 32 << 10

// Proxy forwards TCP connections to a target. Use New or Listen to make one.
type Proxy struct {
	listener   net.Listener
	target     string
	goroutines sync.WaitGroup

	mu          sync.Mutex
	connections []*connection
	accepted    int
	refusing    bool
	paused      bool
	resumed     *sync.Cond
	// limiter limits the rate towards the target; nil means no limit.
	limiter *rate.Limiter
	// shared limits the rate from the target, together with other proxies; nil means no limit.
	shared *rate.Limiter
	// delay is how long each chunk waits before it is forwarded, in both directions.
	delay time.Duration
}

// connection is one proxied connection.
type connection struct {
	client, target net.Conn
	// dropToTarget and dropFromTarget drop all further data of a direction.
	dropToTarget, dropFromTarget bool
	// holding buffers data from the client in held instead of forwarding it.
	holding bool
	held    []byte
}

func (c *connection) close() {
	c.client.Close()
	c.target.Close()
}

// New returns a proxy to a target, which forwards connections until Close.
func New(t testing.TB, target string) *Proxy {
	p, err := Listen("127.0.0.1:0", target)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Listen returns a proxy from an address to a target, which forwards connections until
// Close. It fails if it can't listen on the address.
func Listen(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "proxy to %s", target)
	}
	p := &Proxy{listener: l, target: target}
	p.resumed = sync.NewCond(&p.mu)
	p.goroutines.Go(p.accept)
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp", p.target)
		if err != nil {
			client.Close()
			continue
		}
		p.forwardBoth(&connection{client: client, target: target})
	}
}

// forwardBoth starts to forward both directions of a connection, unless the proxy is cut.
func (p *Proxy) forwardBoth(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refusing {
		c.close()
		return
	}
	p.connections = append(p.connections, c)
	p.accepted++
	p.goroutines.Go(func() { p.forward(c, c.client, c.target) })
	p.goroutines.Go(func() { p.forward(c, c.target, c.client) })
}

// forward forwards one direction until an end is closed. If the direction's data is
// withheld, so is its close.
func (p *Proxy) forward(c *connection, from, to net.Conn) {
	defer p.remove(c)
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		withheld := p.withhold(c, from, buffer[:n])
		if !withheld {
			p.throttle(from == c.client, n)
		}
		p.applyDelay()
		switch {
		case err != nil && withheld:
			return
		case err != nil:
			to.Close()
			return
		case withheld:
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			from.Close()
			return
		}
	}
}

// withhold waits while the proxy is paused, and reports whether data that was read from
// one end must not be forwarded.
func (p *Proxy) withhold(c *connection, from net.Conn, data []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.paused {
		p.resumed.Wait()
	}
	if from == c.target {
		return c.dropFromTarget
	}
	if c.holding {
		c.held = append(c.held, data...)
	}
	return c.dropToTarget || c.holding
}

// throttle waits until the rate limit of a direction allows a number of bytes.
func (p *Proxy) throttle(toTarget bool, bytes int) {
	p.mu.Lock()
	limiter := p.shared
	if toTarget {
		limiter = p.limiter
	}
	p.mu.Unlock()
	if limiter != nil {
		time.Sleep(limiter.ReserveN(time.Now(), bytes).Delay())
	}
}

// applyDelay waits for the configured delay.
func (p *Proxy) applyDelay() {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
}

// remove removes a connection that has ended, unless data of it is withheld.
func (p *Proxy) remove(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.dropToTarget || c.dropFromTarget || c.holding {
		return
	}
	p.connections = slices.DeleteFunc(p.connections, func(other *connection) bool { return other == c })
}

func (p *Proxy) forEach(change func(c *connection)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.connections {
		change(c)
	}
}

// Blackhole drops all further data of the open connections, including their close,
// towards the target, from it or both.
func (p *Proxy) Blackhole(toTarget, fromTarget bool) {
	p.forEach(func(c *connection) {
		c.dropToTarget, c.dropFromTarget = c.dropToTarget || toTarget, c.dropFromTarget || fromTarget
	})
}

// Hold buffers data for the target on the open connections.
func (p *Proxy) Hold() { p.forEach(func(c *connection) { c.holding = true }) }

// Release forwards the buffered data.
func (p *Proxy) Release() {
	p.forEach(func(c *connection) {
		// The target may have closed the connection.
		_, _ = c.target.Write(c.held)
		c.held = nil
	})
}

// Pause stops forwarding on all connections, or resumes it.
func (p *Proxy) Pause(paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = paused
	p.resumed.Broadcast()
}

// Cut closes the open connections and refuses new ones, or accepts new ones again.
func (p *Proxy) Cut(cut bool) {
	p.mu.Lock()
	p.refusing = cut
	p.mu.Unlock()
	if cut {
		p.forEach((*connection).close)
	}
}

// LimitRate limits the rate towards the target, in bytes per second.
func (p *Proxy) LimitRate(bytesPerSecond int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter = rate.NewLimiter(rate.Limit(bytesPerSecond), bufferSize)
}

// ShareRate limits the rate from the target by a limiter that several proxies may share, as
// connections share a link. Use NewLink to make one.
func (p *Proxy) ShareRate(link *rate.Limiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shared = link
}

// NewLink returns a limiter for ShareRate, in bytes per second.
func NewLink(bytesPerSecond int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(bytesPerSecond), bufferSize)
}

// SetDelay delays each forwarded chunk in both directions; 0 ends the delay.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// HeldBytes returns the number of buffered bytes of the first connection.
func (p *Proxy) HeldBytes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.connections[0].held)
}

// AcceptedCount returns the number of connections that were forwarded.
func (p *Proxy) AcceptedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// Close closes the proxy and all of its connections.
func (p *Proxy) Close() {
	p.Pause(false)
	p.listener.Close()
	p.Cut(true)
	p.goroutines.Wait()
}

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

// bufferSize is the most bytes that are passed on at once.
const bufferSize = 32 << 10

// Proxy passes TCP connections on to a target. Use New to make one.
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
	// limiter paces what comes for the target; nil does not.
	limiter *rate.Limiter
	// delay is how long each part waits before it is passed on, in both directions.
	delay time.Duration
}

// connection is one connection through a proxy.
type connection struct {
	client, target net.Conn
	// dropToTarget and back tell that a direction is silent for good.
	dropToTarget, dropFromTarget bool
	// holding keeps what comes from the near end until it is released.
	holding bool
	held    []byte
}

func (f *connection) close() {
	f.client.Close()
	f.target.Close()
}

// New returns a proxy to a target, which passes everything on until Close.
func New(t testing.TB, target string) *Proxy {
	p, err := Listen("127.0.0.1:0", target)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Listen returns a proxy from an address to a target, which passes everything on until
// Close. The error is that of the listener.
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

// Address returns where the proxy listens.
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

// forwardBoth passes both directions of a connection on, unless it is refused.
func (p *Proxy) forwardBoth(f *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refusing {
		f.close()
		return
	}
	p.connections = append(p.connections, f)
	p.accepted++
	p.goroutines.Go(func() { p.forward(f, f.client, f.target) })
	p.goroutines.Go(func() { p.forward(f, f.target, f.client) })
}

// forward passes one direction on. The end of a silent direction is not passed on
// either.
func (p *Proxy) forward(f *connection, from, to net.Conn) {
	defer p.remove(f)
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		withheld := p.withhold(f, from, buffer[:n])
		if !withheld && from == f.client {
			p.throttle(n)
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

// withhold waits while the proxy is paused, and reports whether what was read from one
// end is not to be passed on.
func (p *Proxy) withhold(f *connection, from net.Conn, data []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.paused {
		p.resumed.Wait()
	}
	if from == f.target {
		return f.dropFromTarget
	}
	if f.holding {
		f.held = append(f.held, data...)
	}
	return f.dropToTarget || f.holding
}

// throttle waits until the limit lets so many bytes through.
func (p *Proxy) throttle(bytes int) {
	p.mu.Lock()
	limiter := p.limiter
	p.mu.Unlock()
	if limiter != nil {
		time.Sleep(limiter.ReserveN(time.Now(), bytes).Delay())
	}
}

// applyDelay waits for as long as the connections are delayed.
func (p *Proxy) applyDelay() {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
}

// remove drops a connection that has ended, unless a silent direction of it goes on.
func (p *Proxy) remove(f *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.dropToTarget || f.dropFromTarget || f.holding {
		return
	}
	p.connections = slices.DeleteFunc(p.connections, func(other *connection) bool { return other == f })
}

func (p *Proxy) forEach(change func(f *connection)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.connections {
		change(f)
	}
}

// Blackhole makes the open connections silent for good, towards the target or back.
func (p *Proxy) Blackhole(toTarget, fromTarget bool) {
	p.forEach(func(f *connection) {
		f.dropToTarget, f.dropFromTarget = f.dropToTarget || toTarget, f.dropFromTarget || fromTarget
	})
}

// Hold keeps what comes for the target over the open connections.
func (p *Proxy) Hold() { p.forEach(func(f *connection) { f.holding = true }) }

// Release passes on what was held.
func (p *Proxy) Release() {
	p.forEach(func(f *connection) {
		// The far end may have closed the connection.
		_, _ = f.target.Write(f.held)
		f.held = nil
	})
}

// Pause stops all connections, or lets them go on.
func (p *Proxy) Pause(paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = paused
	p.resumed.Broadcast()
}

// Cut ends the open connections and refuses new ones, or takes new ones again.
func (p *Proxy) Cut(cut bool) {
	p.mu.Lock()
	p.refusing = cut
	p.mu.Unlock()
	if cut {
		p.forEach((*connection).close)
	}
}

// LimitRate lets that many bytes a second through to the target.
func (p *Proxy) LimitRate(bytesPerSecond int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter = rate.NewLimiter(rate.Limit(bytesPerSecond), bufferSize)
}

// SetDelay makes each part that passes wait, in both directions; 0 ends that.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// HeldBytes returns how many bytes of the first connection are held.
func (p *Proxy) HeldBytes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.connections[0].held)
}

// AcceptedCount returns how many connections were passed on.
func (p *Proxy) AcceptedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// Close ends the proxy with every connection.
func (p *Proxy) Close() {
	p.Pause(false)
	p.listener.Close()
	p.Cut(true)
	p.goroutines.Wait()
}

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
	listener net.Listener
	target   string
	wait     sync.WaitGroup

	mu       sync.Mutex
	flows    []*flow
	accepted int
	refusing bool
	paused   bool
	changed  *sync.Cond
	// limiter paces what comes for the target; nil does not.
	limiter *rate.Limiter
	// delay is how long each part waits before it is passed on, in both directions.
	delay time.Duration
}

// flow is one connection through a proxy.
type flow struct {
	near, far net.Conn
	// there and back tell that a direction is silent for good.
	there, back bool
	// holding keeps what comes from the near end until it is released.
	holding bool
	held    []byte
}

func (f *flow) close() {
	f.near.Close()
	f.far.Close()
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
	p.changed = sync.NewCond(&p.mu)
	p.wait.Go(p.accept)
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

func (p *Proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			near.Close()
			continue
		}
		p.open(&flow{near: near, far: far})
	}
}

// open passes both directions of a connection on, unless it is refused.
func (p *Proxy) open(f *flow) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refusing {
		f.close()
		return
	}
	p.flows = append(p.flows, f)
	p.accepted++
	p.wait.Go(func() { p.carry(f, f.near, f.far) })
	p.wait.Go(func() { p.carry(f, f.far, f.near) })
}

// carry passes one direction on. The end of a silent direction is not passed on
// either.
func (p *Proxy) carry(f *flow, from, to net.Conn) {
	defer p.forget(f)
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		silent := p.keeps(f, from, buffer[:n])
		if !silent && from == f.near {
			p.pace(n)
		}
		p.lag()
		switch {
		case err != nil && silent:
			return
		case err != nil:
			to.Close()
			return
		case silent:
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			from.Close()
			return
		}
	}
}

// keeps waits while the proxy is paused, and reports whether what was read from one
// end is not to be passed on.
func (p *Proxy) keeps(f *flow, from net.Conn, data []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.paused {
		p.changed.Wait()
	}
	if from == f.far {
		return f.back
	}
	if f.holding {
		f.held = append(f.held, data...)
	}
	return f.there || f.holding
}

// pace waits until the limit lets so many bytes through.
func (p *Proxy) pace(bytes int) {
	p.mu.Lock()
	limiter := p.limiter
	p.mu.Unlock()
	if limiter != nil {
		time.Sleep(limiter.ReserveN(time.Now(), bytes).Delay())
	}
}

// lag waits for as long as the connections are delayed.
func (p *Proxy) lag() {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
}

// forget drops a connection that has ended, unless a silent direction of it goes on.
func (p *Proxy) forget(f *flow) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.there || f.back || f.holding {
		return
	}
	p.flows = slices.DeleteFunc(p.flows, func(other *flow) bool { return other == f })
}

func (p *Proxy) each(change func(f *flow)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.flows {
		change(f)
	}
}

// Blackhole makes the open connections silent for good, towards the target or back.
func (p *Proxy) Blackhole(there, back bool) {
	p.each(func(f *flow) { f.there, f.back = f.there || there, f.back || back })
}

// Hold keeps what comes for the target over the open connections.
func (p *Proxy) Hold() { p.each(func(f *flow) { f.holding = true }) }

// Release passes on what was held.
func (p *Proxy) Release() {
	p.each(func(f *flow) {
		// The far end may have closed the connection.
		_, _ = f.far.Write(f.held)
		f.held = nil
	})
}

// Pause stops all connections, or lets them go on.
func (p *Proxy) Pause(paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = paused
	p.changed.Broadcast()
}

// Cut ends the open connections and refuses new ones, or takes new ones again.
func (p *Proxy) Cut(apart bool) {
	p.mu.Lock()
	p.refusing = apart
	p.mu.Unlock()
	if apart {
		p.each((*flow).close)
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
	return len(p.flows[0].held)
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
	p.wait.Wait()
}

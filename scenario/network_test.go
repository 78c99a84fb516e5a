package scenario_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/time/rate"

	"github.com/vanillaquay/vanillaquay/peer"
)

// network proxies the connections between the entry hosts, and between each region
// and the platform. It can drop and throttle traffic.
type network struct {
	mu sync.Mutex
	// regions holds the region of each entry host; "platform" is in the first.
	regions map[string]string
	// blocked holds the ordered pairs of regions between which traffic is dropped.
	blocked map[[2]string]bool
	// limiters holds the rate limiter of each ordered pair of regions.
	limiters map[[2]string]*rate.Limiter
	// generation is incremented to silence every open connection; a connection of
	// an older generation carries nothing.
	generation int
	listeners  []net.Listener
}

func newNetwork() *network {
	return &network{regions: map[string]string{}, blocked: map[[2]string]bool{}, limiters: map[[2]string]*rate.Limiter{}}
}

// forward listens on behalf of a target in a region and returns the address. The
// source region is that of the member named in the request, or else the given one.
func (n *network) forward(ts *testscript.TestScript, target, targetRegion, sourceRegion string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Check(err)
	n.mu.Lock()
	n.listeners = append(n.listeners, l)
	n.mu.Unlock()
	go func() {
		for {
			connection, err := l.Accept()
			if err != nil {
				return
			}
			go n.proxy(connection, target, targetRegion, sourceRegion)
		}
	}()
	return l.Addr().String()
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listeners {
		l.Close()
	}
}

// proxy forwards one connection in both directions.
func (n *network) proxy(client net.Conn, target, targetRegion, sourceRegion string) {
	defer client.Close()
	reader := bufio.NewReader(client)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if member := request.Header.Get(peer.MemberHeader); member != "" {
		n.mu.Lock()
		sourceRegion = n.regions[member]
		n.mu.Unlock()
	}
	if n.isBlocked(sourceRegion, targetRegion) {
		// No response, as on a path that drops every packet.
		time.Sleep(waitTimeout)
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer server.Close()
	request.URL.Scheme, request.URL.Host = "", ""
	if request.Write(server) != nil {
		return
	}
	n.mu.Lock()
	generation := n.generation
	n.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { n.pump(server, reader, sourceRegion, targetRegion, generation); done <- struct{}{} }()
	go func() { n.pump(client, server, targetRegion, sourceRegion, generation); done <- struct{}{} }()
	<-done
}

// pump copies data in one direction and drops it while the path is blocked or the
// connection is silenced.
func (n *network) pump(to io.Writer, from io.Reader, source, destination string, generation int) {
	buffer := make([]byte, 32<<10)
	for {
		size, err := from.Read(buffer)
		if err != nil {
			return
		}
		n.throttle(source, destination, size)
		if n.isBlocked(source, destination) || n.isSilent(generation) {
			continue
		}
		if _, err := to.Write(buffer[:size]); err != nil {
			return
		}
	}
}

// throttle delays data as a rate-limited link does.
func (n *network) throttle(source, destination string, size int) {
	n.mu.Lock()
	l := n.limiters[[2]string{source, destination}]
	n.mu.Unlock()
	if l == nil {
		return
	}
	time.Sleep(l.ReserveN(time.Now(), size).Delay())
}

func (n *network) isBlocked(source, destination string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked[[2]string{source, destination}]
}

func (n *network) isSilent(generation int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return generation != n.generation
}

// networkCommand changes the network:
//
//	network cut A B      drop traffic between two regions, both ways
//	network oneway A B   drop traffic from A to B
//	network limit A B N  limit each direction to N bytes a second
//	network silence      drop all data on the open connections from now on
//	network heal         remove cuts and limits; silenced connections stay silent
func networkCommand(ts *testscript.TestScript, _ bool, args []string) {
	n := cellOf(ts).network
	n.mu.Lock()
	defer n.mu.Unlock()
	switch args[0] {
	case "cut":
		n.blocked[[2]string{args[1], args[2]}] = true
		n.blocked[[2]string{args[2], args[1]}] = true
	case "oneway":
		n.blocked[[2]string{args[1], args[2]}] = true
	case "limit":
		bytes, err := strconv.Atoi(args[3])
		ts.Check(err)
		n.limiters[[2]string{args[1], args[2]}] = rate.NewLimiter(rate.Limit(bytes), 64<<10)
		n.limiters[[2]string{args[2], args[1]}] = rate.NewLimiter(rate.Limit(bytes), 64<<10)
	case "silence":
		n.generation++
	case "heal":
		clear(n.blocked)
		clear(n.limiters)
	default:
		ts.Fatalf("usage: network cut|oneway|limit|silence|heal")
	}
}

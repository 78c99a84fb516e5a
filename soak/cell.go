package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/front"
	"github.com/vanillaquay/vanillaquay/platformstandin"
	"github.com/vanillaquay/vanillaquay/proxytest"
	"github.com/vanillaquay/vanillaquay/workerstandin"
)

const (
	callerPort, readyPort = 18161, 18167
	peerPort, workerPort  = 17720, 17000
	// Of the addresses 127.N.V.X, those with V = realView are where programs listen; those
	// with V = firstView + I are proxies for the calls that host I makes. X is firstWorker +
	// J for worker J and firstHost + J for host J.
	realView, firstView    = 100, 101
	firstWorker, firstHost = 1, 101
	// reservedNumber is the X of an address that no host and no worker has.
	reservedNumber = 254
	// Bounds of N.
	firstNetwork, networkCount = 10, 200
	// processorsPerWorker is the capacity of a worker in thousandths of a processor.
	processorsPerWorker = 8000
	// statusRetentionSeconds is how long hosts report the state of a job, in seconds.
	statusRetentionSeconds = 120
	// headerTimeout bounds the time in which a stand-in reads a request header.
	headerTimeout = 5 * time.Second
)

// cell is a complete deployment: hosts are processes, and everything else is a stand-in in
// this process.
type cell struct {
	// network is the second byte of all addresses; reservation is a listener that keeps other
	// runs from using it.
	network     int
	reservation net.Listener
	directory   string
	store       *platformstandin.Rows
	monitor     *workerstandin.Monitor
	workers     []*workerstandin.Runner
	hosts       []*process
	// The links of each host to the store, to each worker and to each host.
	storeLinks    []*proxytest.Proxy
	workerLinks   [][]*proxytest.Proxy
	hostLinks     [][]*proxytest.Proxy
	servers       []*http.Server
	adviceAddress string
	fleetAddress  string
}

func (c *cell) address(view, number, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", c.network, view, number, port)
}

func (c *cell) callerAddress(host int) string {
	return c.address(realView, firstHost+host, callerPort)
}

// openCell starts the stand-ins and the proxies, but not the hosts.
func openCell(o Options, onCrash func(string, error)) (*cell, error) {
	c := &cell{directory: o.Directory, store: platformstandin.NewRows(), monitor: &workerstandin.Monitor{}}
	for _, open := range []func(Options) error{c.reserveNetwork, c.startServices, c.startWorkers, c.openHosts} {
		if err := open(o); err != nil {
			c.close()
			return nil, err
		}
	}
	for i, h := range c.hosts {
		h.program, h.onCrash = o.Program, onCrash
		if err := c.writeSettings(i, statusRetentionSeconds); err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

// reserveNetwork chooses a network that no other run uses.
func (c *cell) reserveNetwork(Options) error {
	var err error
	for n := range networkCount {
		c.network = firstNetwork + (os.Getpid()+n)%networkCount
		if c.reservation, err = net.Listen("tcp", c.address(realView, reservedNumber, callerPort)); err == nil {
			return nil
		}
	}
	return errors.Annotate(err, "no free network")
}

func (c *cell) startServices(Options) error {
	var err error
	if c.adviceAddress, err = c.serve("127.0.0.1:0", workerstandin.Advisor()); err != nil {
		return err
	}
	fleet := platformstandin.NewFleet(time.Second)
	c.fleetAddress, err = c.serve("127.0.0.1:0", fleet.Handler())
	return err
}

func (c *cell) startWorkers(o Options) error {
	for i := range o.Workers {
		w := &workerstandin.Runner{
			ID: workerName(i), Capacity: processorsPerWorker, Monitor: c.monitor, Length: time.Second, Size: 1000,
		}
		w.Start()
		if _, err := c.serve(c.address(realView, firstWorker+i, workerPort), w.Handler()); err != nil {
			return err
		}
		c.workers = append(c.workers, w)
		if err := c.putWorkerRow(i, platformstandin.StateReady); err != nil {
			return err
		}
	}
	return nil
}

func workerName(number int) string { return fmt.Sprintf("w%d", number) }

// putWorkerRow writes the store's row of a worker.
func (c *cell) putWorkerRow(worker int, state string) error {
	address, begun := c.address(realView, firstWorker+worker, workerPort), c.workers[worker].StartedAt()
	row, err := platformstandin.WorkerDocument(address, state, processorsPerWorker, begun.UnixMilli())
	if err != nil {
		return errors.Trace(err)
	}
	c.store.Put("servers", c.workers[worker].ID, row)
	return nil
}

func (c *cell) openHosts(o Options) error {
	realPrefix := fmt.Sprintf("127.%d.%d.", c.network, realView)
	for i := range o.Hosts {
		view := firstView + i
		viewPrefix := fmt.Sprintf("127.%d.%d.", c.network, view)
		store, err := c.serve("127.0.0.1:0", platformstandin.RewriteAddresses(c.store.Handler(), realPrefix, viewPrefix))
		if err != nil {
			return err
		}
		link, err := proxytest.Listen("127.0.0.1:0", store)
		if err != nil {
			return err
		}
		c.storeLinks = append(c.storeLinks, link)
		if err := c.openLinks(view, o); err != nil {
			return err
		}
		name := fmt.Sprintf("h%d", i)
		c.hosts = append(c.hosts, &process{
			name: name, ip: fmt.Sprintf("%s%d", realPrefix, firstHost+i),
			settings: filepath.Join(o.Directory, name+".json"), logPath: filepath.Join(o.Directory, name+".log"),
		})
	}
	return nil
}

// openLinks opens the proxies from a host to the workers and to the hosts.
func (c *cell) openLinks(view int, o Options) error {
	workers, err := c.openProxies(view, firstWorker, o.Workers, workerPort)
	if err != nil {
		return err
	}
	hosts, err := c.openProxies(view, firstHost, o.Hosts, peerPort)
	c.workerLinks, c.hostLinks = append(c.workerLinks, workers), append(c.hostLinks, hosts)
	return err
}

func (c *cell) openProxies(view, first, n, port int) ([]*proxytest.Proxy, error) {
	var links []*proxytest.Proxy
	for i := range n {
		link, err := proxytest.Listen(c.address(view, first+i, port), c.address(realView, first+i, port))
		if err != nil {
			return links, err
		}
		links = append(links, link)
	}
	return links, nil
}

// serve starts the server of a stand-in and returns its address.
func (c *cell) serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Annotate(err, "stand-in")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	c.servers = append(c.servers, s)
	go func() {
		// Serve returns an error when the server is closed.
		_ = s.Serve(l)
	}()
	return l.Addr().String(), nil
}

// writeSettings writes the settings file of a host.
func (c *cell) writeSettings(host, statusSeconds int) error {
	h := c.hosts[host]
	content, err := platformstandin.SettingsDocument(platformstandin.HostSettings{
		Host: h.name, IP: h.ip, CallerAddress: c.callerAddress(host), ReadyAddress: c.address(realView, firstHost+host, readyPort),
		PeerPort: peerPort, StoreAddress: c.storeLinks[host].Address(), AdviceAddress: c.adviceAddress, Machines: c.fleetAddress, StatusS: statusSeconds,
	})
	if err != nil {
		return errors.Trace(err)
	}
	next := h.settings + ".next"
	if err := os.WriteFile(next, content, 0o600); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.Rename(next, h.settings))
}

// isOwner reports whether a host says that it owns the cell.
func (c *cell) isOwner(ctx context.Context, host int) bool {
	url := "http://" + c.address(realView, firstHost+host, front.MetricsPort) + "/dump"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	r, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer r.Body.Close()
	var dump struct{ Owns bool }
	return json.NewDecoder(r.Body).Decode(&dump) == nil && dump.Owns
}

func (c *cell) allLinks() []*proxytest.Proxy {
	all := append([]*proxytest.Proxy(nil), c.storeLinks...)
	for _, group := range [][][]*proxytest.Proxy{c.workerLinks, c.hostLinks} {
		for _, links := range group {
			all = append(all, links...)
		}
	}
	return all
}

// close ends all hosts, proxies and stand-ins.
func (c *cell) close() {
	for _, h := range c.hosts {
		h.close()
	}
	for _, link := range c.allLinks() {
		link.Close()
	}
	for _, s := range c.servers {
		// The stand-ins have no data to save, so a graceful shutdown is not needed.
		_ = s.Close()
	}
	if c.reservation != nil {
		c.reservation.Close()
	}
}

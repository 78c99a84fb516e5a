package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/entry"
	"github.com/vanillaquay/vanillaquay/loopback"
	"github.com/vanillaquay/vanillaquay/platformstandin"
	"github.com/vanillaquay/vanillaquay/settings"
	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workerstandin"
)

// Shape of the cell.
const (
	entryHosts = 3
	workers    = 6
	// rackSize is the number of workers of one rack.
	rackSize = 2
	region   = "centro"
	// team and teamToken are those of the callers.
	team      = "domes"
	teamToken = "t-domes"
)

// capacity is the capacity of each worker.
var capacity = task.Size{
	Processors: 16 * task.Processor, Memory: 32 * task.Gibibyte, Slots: 8, Connections: 64,
}

// cell is the whole running cell.
type cell struct {
	platform *platformstandin.Server
	settings settings.Settings
	log      *logrus.Logger
	history  *history

	mu      sync.Mutex
	servers []*http.Server
	agents  map[string]*agent
	hosts   map[string]*host
}

// agent is the running stand-in of one worker.
type agent struct {
	standin *workerstandin.Agent
	server  *http.Server
	address string
}

// host is a running entry host; callers is the address that it serves callers
// on.
type host struct {
	callers string
	cancel  context.CancelFunc
	done    chan struct{}
	err     error
}

// startCell starts a platform, workers and entry hosts.
func startCell(log *logrus.Logger) (*cell, error) {
	c := &cell{
		platform: platformstandin.New(), log: log, history: newHistory(),
		agents: map[string]*agent{}, hosts: map[string]*host{},
	}
	address, server, err := serve("127.0.0.1:0", c.platform.Handler())
	if err != nil {
		return nil, err
	}
	c.servers = append(c.servers, server)
	c.settings = settings.Settings{
		Platform: "http://" + address, Regions: []string{region}, PartitionsPerRegion: 4,
		Hosts: map[string]settings.Host{}, Teams: map[string]settings.Team{team: {Token: teamToken}},
	}
	for i := range workers {
		if err := c.startWorker(fmt.Sprintf("w%d", i+1), fmt.Sprintf("r%d", i/rackSize+1)); err != nil {
			return nil, err
		}
	}
	return c, c.startHosts()
}

func (c *cell) startWorker(name, rack string) error {
	a, err := c.newAgent(name, "127.0.0.1:0")
	if err != nil {
		return err
	}
	c.platform.SetHost(tablestore.Host{
		ID: name, Rack: rack, Zone: region + "-" + rack, Region: region, Address: a.address, State: tablestore.Live,
	})
	return nil
}

// newAgent starts the stand-in of a worker that runs no attempts.
func (c *cell) newAgent(name, address string) (*agent, error) {
	a := &agent{standin: workerstandin.New(name, capacity)}
	a.standin.SetJournal(c.history)
	var err error
	if a.address, a.server, err = serve(address, a.standin.Handler()); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.agents[name] = a
	return a, nil
}

func (c *cell) startHosts() error {
	for i := range entryHosts {
		h, err := newHostSettings(fmt.Sprintf("%s-%d", region, i))
		if err != nil {
			return err
		}
		c.settings.Hosts[fmt.Sprintf("e%d", i+1)] = h
	}
	for name := range c.settings.Hosts {
		if err := c.startHost(name); err != nil {
			return err
		}
	}
	return nil
}

func (c *cell) startHost(name string) error {
	h, err := entry.New(name, c.settings, c.log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	running := &host{callers: c.settings.Hosts[name].Callers, cancel: cancel, done: make(chan struct{})}
	c.hosts[name] = running
	go func() {
		defer close(running.done)
		running.err = h.Run(ctx)
	}()
	return nil
}

// stopHost stops an entry host gracefully and waits until it has stopped.
func (c *cell) stopHost(name string) error {
	h := c.hosts[name]
	h.cancel()
	<-h.done
	return h.err
}

// replaceWorker stops a worker abruptly, with everything on it, and starts an
// empty one at its address.
func (c *cell) replaceWorker(name string) error {
	c.mu.Lock()
	old := c.agents[name]
	c.mu.Unlock()
	if err := old.server.Close(); err != nil {
		return errors.Trace(err)
	}
	old.standin.Close()
	c.history.markWorkerLost(name, time.Now())
	_, err := c.newAgent(name, old.address)
	return err
}

// close stops everything.
func (c *cell) close() {
	for _, h := range c.hosts {
		h.cancel()
		<-h.done
	}
	for _, a := range c.agents {
		a.standin.Close()
		// It is not an error if the server has already been closed.
		_ = a.server.Close()
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
}

// serve starts a server and returns its address.
func serve(address string, handler http.Handler) (string, *http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, errors.Trace(err)
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		// Serve returns an error once the server is closed.
		_ = s.Serve(l)
	}()
	return l.Addr().String(), s, nil
}

// newHostSettings returns the settings of an entry host with unused addresses.
func newHostSettings(zone string) (settings.Host, error) {
	var addresses [3]string
	for i := range addresses {
		var err error
		if addresses[i], err = loopback.Reserve("127.0.0.1"); err != nil {
			return settings.Host{}, err
		}
	}
	return settings.Host{
		Region: region, Zone: zone, Callers: addresses[0], Operators: addresses[1], Peers: addresses[2],
	}, nil
}

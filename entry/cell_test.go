package entry_test

import (
	"context"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/entry"
	"github.com/vanillaquay/vanillaquay/loopback"
	"github.com/vanillaquay/vanillaquay/member"
	"github.com/vanillaquay/vanillaquay/partition"
	"github.com/vanillaquay/vanillaquay/platformstandin"
	"github.com/vanillaquay/vanillaquay/settings"
	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workerstandin"
)

// waitTimeout bounds every wait of a test. It is not an expected duration.
const waitTimeout = 30 * time.Second

// cell is a set of entry hosts in this process with a stand-in for the platform. Each
// host reaches the platform through its own proxy, which can be cut.
type cell struct {
	server   *platformstandin.Server
	settings settings.Settings
	hosts    map[string]*host
	// network is the loopback address of the cell's hosts.
	network string
	// resources is the number of partitions and racks.
	resources int
	// hook receives the log entries of the hosts, down to debug level; nil means none.
	hook logrus.Hook
}

// host is a running entry host.
type host struct {
	path   *platformPath
	cancel context.CancelFunc
	done   chan error
}

// platformPath is a reverse proxy to the platform. While it is cut, it accepts requests
// and never responds.
type platformPath struct {
	proxy http.Handler
	cut   atomic.Bool
}

func (p *platformPath) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !p.cut.Load() {
		p.proxy.ServeHTTP(w, r)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err == nil {
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

// newCell returns a running cell of hosts e1, e2, ... spread over the regions. Each
// region has the given number of racks, whose workers do not respond.
func newCell(t *testing.T, entries, racks int, regions ...string) *cell {
	return prepareCell(t, entries, racks, regions...).run(t)
}

// prepareCell returns a cell whose hosts have not been started.
func prepareCell(t *testing.T, entries, racks int, regions ...string) *cell {
	c := &cell{server: platformstandin.New(), hosts: map[string]*host{}, network: fmt.Sprintf("127.0.%d.1", cells.Add(1)), resources: (4 + racks) * len(regions)}
	c.settings = settings.Settings{
		Regions: regions, PartitionsPerRegion: 4, Hosts: map[string]settings.Host{},
		Teams: map[string]settings.Team{}, Operators: map[string]settings.Operator{"ops": {Token: "t-ops"}},
	}
	for i := range 8 {
		name := fmt.Sprintf("team%d", i)
		c.settings.Teams[name] = settings.Team{Token: "t-" + name}
	}
	for i := range racks * len(regions) {
		region := regions[i%len(regions)]
		c.server.SetHost(tablestore.Host{ID: fmt.Sprintf("w%d", i), Region: region, Zone: region + "-0",
			Rack: fmt.Sprintf("%s-r%d", region, i/len(regions)), Address: "127.0.0.1:1", State: tablestore.Live})
	}
	for i := range entries {
		region := regions[i%len(regions)]
		name := fmt.Sprintf("e%d", i+1)
		c.settings.Hosts[name] = settings.Host{Region: region, Zone: region + "-0",
			Callers: c.reserve(t), Operators: c.reserve(t), Peers: c.reserve(t)}
	}
	return c
}

// run starts the hosts.
func (c *cell) run(t *testing.T) *cell {
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("owners at the end: %v", c.claims(t))
		}
	})
	for name := range c.settings.Hosts {
		c.start(t, name)
	}
	return c
}

// start runs a host until the test ends or stop is called.
func (c *cell) start(t *testing.T, name string) {
	platformServer := httptest.NewServer(c.server.Handler())
	target, err := url.Parse(platformServer.URL)
	qt.Assert(t, err, qt.IsNil)
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	h := &host{path: &platformPath{proxy: proxy}, done: make(chan error, 1)}
	server := httptest.NewServer(h.path)
	s := c.settings
	s.Platform = server.URL
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	if c.hook != nil {
		logger.SetLevel(logrus.DebugLevel)
		logger.AddHook(c.hook)
	}
	e, err := entry.New(name, s, logger)
	qt.Assert(t, err, qt.IsNil)
	var ctx context.Context
	ctx, h.cancel = context.WithCancel(context.Background())
	go func() { h.done <- e.Run(ctx) }()
	c.hosts[name] = h
	t.Cleanup(func() {
		h.path.cut.Store(false)
		h.cancel()
		select {
		case err := <-h.done:
			qt.Check(t, err, qt.IsNil, qt.Commentf("host %s", name))
		case <-time.After(waitTimeout):
			t.Errorf("host %s has not stopped", name)
		}
		server.CloseClientConnections()
		server.Close()
		platformServer.Close()
	})
}

// stop ends a host gracefully.
func (c *cell) stop(t *testing.T, name string) {
	h := c.hosts[name]
	h.cancel()
	err := <-h.done
	h.done <- err
	qt.Assert(t, err, qt.IsNil)
}

// kill stops a host that can't reach the platform, so that its rows stay as if its
// process had been killed.
func (c *cell) kill(t *testing.T, name string) {
	c.hosts[name].path.cut.Store(true)
	c.stop(t, name)
}

// claims returns the owner rows.
func (c *cell) claims(t *testing.T) map[string]partition.Claim {
	rows, err := c.server.Direct().List(context.Background(), "owner/", "", 1000)
	qt.Assert(t, err, qt.IsNil)
	claims := map[string]partition.Claim{}
	for _, row := range rows {
		claim, err := partition.DecodeClaim(row.Value)
		qt.Assert(t, err, qt.IsNil)
		claims[row.Key] = claim
	}
	return claims
}

// member returns the row of a member.
func (c *cell) member(t *testing.T, name string) member.Member {
	row, err := c.server.Direct().Get(context.Background(), member.KeyPrefix+name)
	qt.Assert(t, err, qt.IsNil)
	m, err := member.Decode(row.Value)
	qt.Assert(t, err, qt.IsNil)
	return m
}

// await polls until a condition holds and returns how long that took.
func await(t *testing.T, what string, condition func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > waitTimeout {
			t.Fatalf("%s: not within %v", what, waitTimeout)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// settled reports whether every partition and rack is owned by the current instance of
// the preferred member among the named ones.
func (c *cell) settled(t *testing.T, names ...string) bool {
	claims := c.claims(t)
	if len(claims) < c.resources {
		return false
	}
	for key, claim := range claims {
		if claim.Owner != c.preferred(key, names) || claim.Instance != c.member(t, claim.Owner).Instance {
			return false
		}
	}
	return true
}

// preferred returns which of the named members should own the resource of a row.
func (c *cell) preferred(key string, names []string) string {
	name := strings.TrimPrefix(strings.TrimPrefix(key, partition.PartitionPrefix), partition.RackPrefix)
	var members []member.Member
	for _, id := range names {
		if region := c.settings.Hosts[id].Region; strings.HasPrefix(name, region) {
			members = append(members, member.Member{ID: id})
		}
	}
	m, _ := partition.PreferredOwner(name, members)
	return m.ID
}

// cells counts the cells of the process.
var cells atomic.Int32

// reserve returns an address for a host. Each cell has its own loopback address.
func (c *cell) reserve(t *testing.T) string {
	address, err := loopback.Reserve(c.network)
	qt.Assert(t, err, qt.IsNil)
	return address
}

// addWorker runs a worker stand-in. Hosts reach it at the address that front returns
// for the worker's own, or at its own if front is nil.
func (c *cell) addWorker(t *testing.T, id, region, rack string, front func(address string) string) *workerstandin.Agent {
	agent := workerstandin.New(id, task.Size{Processors: 64_000, Memory: 256 << 30, Slots: 8, Connections: 64})
	server := httptest.NewServer(agent.Handler())
	t.Cleanup(func() {
		agent.Close()
		server.CloseClientConnections()
		server.Close()
	})
	address := server.Listener.Addr().String()
	if front != nil {
		address = front(address)
	}
	c.server.SetHost(tablestore.Host{ID: id, Region: region, Zone: region + "-0", Rack: rack, Address: address, State: tablestore.Live})
	return agent
}

// startsOf counts the starts of the attempts whose names contain a text.
func startsOf(text string, agents ...*workerstandin.Agent) int {
	n := 0
	for _, a := range agents {
		for attempt, count := range a.Audit().Starts {
			if strings.Contains(attempt, text) {
				n += count
			}
		}
	}
	return n
}

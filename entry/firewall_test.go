package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"slices"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/worker"
	"github.com/vanillaquay/vanillaquay/workerstandin"
)

// firewall is a set of proxies in front of hosts and workers. It blocks chosen members
// from reaching chosen targets. The zero value blocks nothing.
type firewall struct {
	mu      sync.Mutex
	blocked map[[2]string]bool
	cancels map[[2]string][]context.CancelFunc
}

// block keeps a member from reaching a host or worker, and cancels its open requests.
func (b *firewall) block(from, to string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.blocked == nil {
		b.blocked = map[[2]string]bool{}
	}
	pair := [2]string{from, to}
	b.blocked[pair] = true
	for _, end := range b.cancels[pair] {
		end()
	}
	delete(b.cancels, pair)
}

// admit admits a request unless its sender is blocked. The returned context ends when
// the sender is blocked later.
func (b *firewall) admit(ctx context.Context, from, to string) (context.Context, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	pair := [2]string{from, to}
	if b.blocked[pair] {
		return nil, false
	}
	inner, end := context.WithCancel(ctx)
	if b.cancels == nil {
		b.cancels = map[[2]string][]context.CancelFunc{}
	}
	b.cancels[pair] = append(b.cancels[pair], end)
	return inner, true
}

// proxy returns the address of a proxy to a named target. senderOf returns the sender
// of a request.
func (b *firewall) proxy(t *testing.T, name, target string, senderOf func(*http.Request) string) string {
	to, err := url.Parse("http://" + target)
	qt.Assert(t, err, qt.IsNil)
	proxy := httputil.NewSingleHostReverseProxy(to)
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, ok := b.admit(r.Context(), senderOf(r), name)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		proxy.ServeHTTP(w, r.WithContext(ctx))
	}))
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

// memberOf returns the member that opens a link.
func memberOf(r *http.Request) string { return r.Header.Get(peer.MemberHeader) }

// ownerOf returns the owner that sends a batch to a worker, or "" for a request that
// only listens for events, which is never blocked.
func ownerOf(r *http.Request) string {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return ""
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	var b worker.Batch
	if json.Unmarshal(body, &b) != nil {
		return ""
	}
	return b.Owner
}

// isolationCell is a cell of hosts whose connections can be blocked one by one, with a
// rack whose first worker runs a batch run.
type isolationCell struct {
	*cell
	firewall firewall
	agents   []*workerstandin.Agent
	// owner owns the rack, and successor is the next preferred owner.
	owner, successor string
}

const (
	isolationRack = "centro-r0"
	runID         = "long"
)

func newIsolationCell(t *testing.T, entries int, regions ...string) *isolationCell {
	i := &isolationCell{cell: prepareCell(t, entries, 0, regions...)}
	for name, hostSettings := range i.settings.Hosts {
		hostSettings.Advertise = i.firewall.proxy(t, name, hostSettings.Peers, memberOf)
		i.settings.Hosts[name] = hostSettings
	}
	i.addWorker(t, "w1")
	i.run(t)
	names := slices.Sorted(maps.Keys(i.settings.Hosts))
	await(t, "first owners acquire their resources", func() bool { return i.settled(t, names...) && len(i.claims(t)) == i.resources+1 })
	key := "owner/rack/" + isolationRack
	i.owner = i.claims(t)[key].Owner
	i.successor = i.preferred(key, slices.DeleteFunc(names, func(name string) bool { return name == i.owner }))
	await(t, "batch run accepted", func() bool { return i.submitRun(runID) })
	await(t, "batch run started on the first worker", func() bool { return i.runsOn(0) })
	i.addWorker(t, "w2")
	return i
}

func (i *isolationCell) addWorker(t *testing.T, id string) {
	front := func(address string) string { return i.firewall.proxy(t, id, address, ownerOf) }
	i.agents = append(i.agents, i.cell.addWorker(t, id, "centro", isolationRack, front))
}

// runsOn reports whether the batch run is running on a worker.
func (i *isolationCell) runsOn(worker int) bool { return len(i.agents[worker].Audit().Running) > 0 }

// disconnect blocks two hosts from each other.
func (i *isolationCell) disconnect(a, b string) {
	i.firewall.block(a, b)
	i.firewall.block(b, a)
}

// isolateFirstWorker blocks every host except the rack's owner from the first worker.
func (i *isolationCell) isolateFirstWorker() {
	for name := range i.hosts {
		if name != i.owner {
			i.firewall.block(name, "w1")
		}
	}
}

// isolate cuts the owner of the rack off from the store and from the given hosts.
func (i *isolationCell) isolate(hosts ...string) {
	for _, name := range hosts {
		i.disconnect(i.owner, name)
	}
	i.hosts[i.owner].path.cut.Store(true)
}

// otherHosts returns the hosts except the owner of the rack.
func (i *isolationCell) otherHosts() []string {
	return slices.DeleteFunc(slices.Collect(maps.Keys(i.hosts)), func(name string) bool { return name == i.owner })
}

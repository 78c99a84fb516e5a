package mirror_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/mirror"
)

// bound is the time within which the hosts of a test must know a change.
const bound = time.Second

// fakeStore has one row.
type fakeStore struct {
	ledger.Store
	mu      sync.Mutex
	version ledger.Version
	changed chan struct{}
	// reads counts the reads that returned the row, since reset.
	reads atomic.Int64
}

func newFakeStore() *fakeStore { return &fakeStore{version: 1, changed: make(chan struct{})} }

// write writes the next version of the row, and returns it.
func (s *fakeStore) write() ledger.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

func (s *fakeStore) current() (ledger.Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row := ledger.Row{Table: "op", Key: "config", Value: []byte(fmt.Sprint("version ", s.version)), Version: s.version}
	return ledger.Page{Rows: []ledger.Row{row}, Version: s.version}, s.changed
}

// link is the path of one host to the store.
type link struct {
	*fakeStore
	// cut makes calls wait until they are cancelled, and delay is how long a read of the row takes.
	cut   atomic.Bool
	delay atomic.Int64
}

// Rows implements ledger.Store.
func (l *link) Rows(ctx context.Context, _, _, _ string, _ int) (ledger.Page, error) {
	return l.Feed(ctx, "op", 0, 0)
}

// Feed implements ledger.Store.
func (l *link) Feed(ctx context.Context, _ string, after ledger.Version, wait time.Duration) (ledger.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+bound/2)
	defer cancel()
	page, changed := l.current()
	if page.Version <= after {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
		}
		page, _ = l.current()
	}
	if l.cut.Load() {
		<-ctx.Done()
		return ledger.Page{}, ctx.Err()
	}
	if page.Version <= after {
		return ledger.Page{Version: page.Version}, nil
	}
	l.reads.Add(1)
	time.Sleep(time.Duration(l.delay.Load()))
	return page, nil
}

// host is a host that follows the row.
type host struct {
	link   link
	store  *mirror.Store
	server *httptest.Server
	// hung makes it answer nobody.
	hung atomic.Bool
	// receiving is what it says of the store's answers.
	receiving atomic.Bool
	known     atomic.Int64
}

// startRegion starts hosts that follow the row, the root of their tree first.
func startRegion(t *testing.T, store *fakeStore, n int) []*host {
	var hosts []*host
	var peers []mirror.Peer
	for i := range n {
		h := &host{link: link{fakeStore: store}}
		h.store = &mirror.Store{
			Store: &h.link, Table: "op", Self: fmt.Sprintf("h%d", i), Bound: func() time.Duration { return bound },
			Client: &http.Client{Transport: &http.Transport{}},
		}
		h.store.Receiving = h.receiving.Load
		h.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if h.hung.Load() {
				// The context ends with the connection only once the body has been read.
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
				return
			}
			h.store.ServeHTTP(w, r)
		}))
		t.Cleanup(h.server.Close)
		t.Cleanup(h.server.CloseClientConnections)
		hosts = append(hosts, h)
		peers = append(peers, mirror.Peer{Name: h.store.Self, Address: strings.TrimPrefix(h.server.URL, "http://")})
	}
	for _, h := range hosts {
		h.store.Peers = func(context.Context) []mirror.Peer { return peers }
		go ledger.Watch{
			Store: h.store, Table: "op", ListAfterGap: true,
			OnChange: func(r ledger.Row) { h.known.Store(int64(r.Version)) },
		}.Run(t.Context())
	}
	awaitKnown(t, hosts, 1)
	store.reads.Store(0)
	return hosts
}

// awaitKnown waits until hosts know a version, and checks that they do so in time.
func awaitKnown(t *testing.T, hosts []*host, version ledger.Version) {
	t.Helper()
	begun := time.Now()
	for _, h := range hosts {
		for h.known.Load() < int64(version) && time.Since(begun) < 20*bound {
			time.Sleep(time.Millisecond)
		}
		qt.Check(t, h.known.Load(), qt.Equals, int64(version), qt.Commentf("%s", h.store.Self))
	}
	qt.Check(t, time.Since(begun) < bound, qt.IsTrue, qt.Commentf("version %d after %s", version, time.Since(begun)))
}

// TestOneHostReadsForItsRegion guards against hosts that each read a row over the link that they share.
func TestOneHostReadsForItsRegion(t *testing.T) {
	store := newFakeStore()
	hosts := startRegion(t, store, 5)
	for range 3 {
		awaitKnown(t, hosts, store.write())
	}
	qt.Check(t, store.reads.Load(), qt.Equals, int64(3))
}

// TestChangeIsKnownInTimeWithoutRoot guards against hosts that learn of a change too late (CONFIG)
// because the host that reads for them, or the next one too, answers nobody.
func TestChangeIsKnownInTimeWithoutRoot(t *testing.T) {
	store := newFakeStore()
	hosts := startRegion(t, store, 6)
	for silent := 1; silent <= 2; silent++ {
		for _, h := range hosts[:silent] {
			h.hung.Store(true)
		}
		// Calls of the hosts that began before then end meanwhile.
		time.Sleep(bound / 4)
		awaitKnown(t, hosts[silent:], store.write())
	}
}

// TestChangeIsKnownInTimeIfRootIsCutOff guards against hosts that learn of a change too late (CONFIG)
// because the host that reads for them is cut off from the store and goes on to answer.
func TestChangeIsKnownInTimeIfRootIsCutOff(t *testing.T) {
	store := newFakeStore()
	hosts := startRegion(t, store, 5)
	hosts[0].link.cut.Store(true)
	awaitKnown(t, hosts[1:], store.write())
}

// TestHostsWaitForOneThatReads guards against hosts that all read over a busy link because the read of
// the one before them takes long.
func TestHostsWaitForOneThatReads(t *testing.T) {
	store := newFakeStore()
	hosts := startRegion(t, store, 5)
	hosts[0].link.delay.Store(int64(bound * 6 / 10))
	hosts[0].receiving.Store(true)
	awaitKnown(t, hosts, store.write())
	qt.Check(t, store.reads.Load(), qt.Equals, int64(1))
}

// TestHostsFollowOneAgainAfterOutage guards against hosts that all read for themselves after an outage
// of the store, because none of them could tell the others anything recent.
func TestHostsFollowOneAgainAfterOutage(t *testing.T) {
	store := newFakeStore()
	hosts := startRegion(t, store, 5)
	cutAll := func(cut bool) {
		for _, h := range hosts {
			h.link.cut.Store(cut)
		}
	}
	cutAll(true)
	time.Sleep(6 * bound)
	cutAll(false)
	time.Sleep(3 * bound)
	store.reads.Store(0)
	awaitKnown(t, hosts, store.write())
	qt.Check(t, store.reads.Load(), qt.Equals, int64(1))
}

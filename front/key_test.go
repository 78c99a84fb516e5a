package front_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/platformstandin"
)

// putKeys writes a version with one organisation that has the given keys.
func (d *deployment) putKeys(version int, keys ...string) {
	document, err := platformstandin.CatalogueDocument(version, "a.example", []platformstandin.Queue{{Name: "plain", Attempts: 3}}, platformstandin.Organisation{Name: "a", Keys: keys, Weight: 1})
	qt.Assert(d.t, err, qt.IsNil)
	d.rows.Put("op", "config", document)
}

func (d *deployment) awaitVersion(h *hostProcess, version int) {
	d.t.Helper()
	d.await(h.name+" has the version", func() bool { return slices.Contains(h.versions(), version) })
}

// checkKey checks the status of a call of each verb with a key, and that of the submission of
// job n.
func (d *deployment) checkKey(h *hostProcess, key string, n, submitted int) {
	d.t.Helper()
	status, _ := d.callWithKey(h, key, http.MethodPost, path("plain", n), jobBody(1))
	qt.Check(d.t, status, qt.Equals, submitted, qt.Commentf("%s with %q", h.name, key))
	qt.Check(d.t, d.reused.Load(), qt.IsTrue, qt.Commentf("the connection is not an open one"))
	for _, call := range [][2]string{{http.MethodGet, path("plain", 1)}, {http.MethodGet, "/plain/"}, {http.MethodDelete, path("plain", 999)}} {
		status, _ := d.callWithKey(h, key, call[0], call[1], "")
		qt.Check(d.t, status == http.StatusUnauthorized, qt.Equals, submitted == http.StatusUnauthorized, qt.Commentf("%v at %s with %q: %d", call, h.name, key, status))
	}
}

// A key is withdrawn and another is added while a host can't reach the store, nor another host of its
// region that could tell it the version. That host must not
// get anything done for the withdrawn key, of which the owner knows, and must go on with the keys
// that it has; the others follow the new version on open connections. What was accepted before
// must run, and nothing that was refused may.
func TestKeyWithdrawnWhileHostIsCutOff(t *testing.T) {
	d, links := deployBehindProxies(t, []string{"r1", "r2", "r3"}, 2, 100*time.Millisecond)
	d.putKeys(2, "k1", "k2")
	for _, h := range d.hosts {
		d.awaitVersion(h, 2)
	}
	owner := d.owner()
	cutOff := d.other(owner)
	link := links[slices.Index(d.hosts, cutOff)]
	d.checkKey(cutOff, "k1", 1, http.StatusOK)
	link.Cut(true)
	d.putKeys(3, "k2", "k3")
	for _, h := range d.hosts {
		if h != cutOff {
			d.awaitVersion(h, 3)
			d.checkKey(h, "k1", 2, http.StatusUnauthorized)
			d.checkKey(h, "k3", 3, http.StatusOK)
		}
	}
	d.checkKey(cutOff, "k1", 4, http.StatusUnauthorized)
	d.checkKey(cutOff, "k2", 5, http.StatusOK)
	d.checkKey(cutOff, "k3", 6, http.StatusUnauthorized)
	d.checkKey(cutOff, "", 7, http.StatusUnauthorized)
	qt.Check(t, slices.Contains(cutOff.versions(), 3), qt.IsFalse)
	link.Cut(false)
	d.awaitVersion(cutOff, 3)
	d.checkKey(cutOff, "k3", 8, http.StatusOK)
	for _, n := range []int{1, 3, 5, 8} {
		d.await("accepted jobs are done", func() bool {
			_, body := d.callWithKey(cutOff, "k3", http.MethodGet, path("plain", n), "")
			return strings.Contains(body, `"done"`)
		})
	}
	qt.Check(t, d.monitor.Starts(), qt.Equals, 4, qt.Commentf("refused jobs ran"))
}

// feedFilter passes the calls of one host on to the store. While it is lossy it loses the answers
// to feed calls for the operator's table, and leaves their connections open.
type feedFilter struct {
	httputil.ReverseProxy
	lossy atomic.Bool
}

func newFeedFilter(store string) *feedFilter {
	f := &feedFilter{}
	f.Rewrite = func(r *httputil.ProxyRequest) { r.SetURL(&url.URL{Scheme: "http", Host: store}) }
	f.ModifyResponse = func(r *http.Response) error {
		if f.lossy.Load() && strings.Contains(r.Request.URL.Path, "feed") && r.Request.URL.Query().Get("table") == "op" {
			<-r.Request.Context().Done()
		}
		return nil
	}
	return f
}

// The store loses the answer to one host's feed call, which would wait for 16 s. The host must
// learn of the version from another one and read it in time (CONFIG); until then an owner that is
// behind must not refuse a key of which only the other host has read.
func TestLostFeedAnswerDelaysNoVersion(t *testing.T) {
	c := qt.New(t)
	var filters []*feedFilter
	d := deployWith(t, make([]float64, 2), 2, 100*time.Millisecond, func(store string) string {
		f := newFeedFilter(store)
		server := httptest.NewServer(f)
		t.Cleanup(server.CloseClientConnections)
		filters = append(filters, f)
		return strings.TrimPrefix(server.URL, "http://")
	})
	d.putKeys(2, "k1")
	for _, h := range d.hosts {
		d.awaitVersion(h, 2)
	}
	owner := d.owner()
	other := d.other(owner)
	for i, behind := range []*hostProcess{owner, other} {
		filter, version, key := filters[slices.Index(d.hosts, behind)], 3+i, fmt.Sprintf("k%d", 3+i)
		filter.lossy.Store(true)
		d.putKeys(version, key)
		written := time.Now()
		if behind == owner {
			d.awaitVersion(other, version)
			d.checkKey(other, key, 3, http.StatusOK)
			c.Check(slices.Contains(owner.versions(), version), qt.IsFalse)
		}
		d.awaitVersion(behind, version)
		c.Check(time.Since(written) < 2500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(written)))
		filter.lossy.Store(false)
	}
}

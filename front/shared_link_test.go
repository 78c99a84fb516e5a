package front_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/platformstandin"
	"github.com/vanillaquay/vanillaquay/proxytest"
)

const (
	// farHosts is the number of hosts in the region without the store.
	farHosts = 6
	// linkRate is the rate of the link between the regions, in bytes per second: it carries a
	// version of 1,450 queues, of some 410 KB, to one host in 0.8 s, and to all in 5 s.
	linkRate = 500_000
	// catalogueTime is the time in which a version must be in force, as in the settings.
	catalogueTime = 2500 * time.Millisecond
)

// deployFar starts a host in the region of the store, and others in a region that reaches the
// store over a shared link.
func deployFar(t *testing.T) (d *deployment, far []*hostProcess) {
	link := proxytest.NewLink(linkRate)
	regions, n := []string{"near"}, 0
	for range farHosts {
		regions = append(regions, "far")
	}
	d = deployInRegions(t, regions, make([]float64, len(regions)), 2, 100*time.Millisecond, func(store string) string {
		n++
		if n == 1 {
			return store
		}
		p := proxytest.New(t, store)
		t.Cleanup(p.Close)
		p.SetDelay(15 * time.Millisecond)
		p.ShareRate(link)
		return p.Address()
	})
	for _, h := range d.hosts {
		d.await(h.name+" knows all members", func() bool { return d.memberCount(h) == len(d.hosts) })
	}
	// Calls to the store from before the members were known wait for a fifth of that time.
	time.Sleep(catalogueTime / 4)
	return d, d.hosts[1:]
}

// memberCount returns the number of hosts that a host knows.
func (d *deployment) memberCount(h *hostProcess) int {
	r, err := http.Get(fmt.Sprintf("http://%s:9464/dump", h.ip))
	qt.Assert(d.t, err, qt.IsNil)
	defer r.Body.Close()
	var dump struct{ Members []string }
	qt.Assert(d.t, json.NewDecoder(r.Body).Decode(&dump), qt.IsNil)
	return len(dump.Members)
}

// putLargeVersion writes a version of 1,450 queues.
func (d *deployment) putLargeVersion(version int) {
	var queues []platformstandin.Queue
	for i := range 1450 {
		queues = append(queues, platformstandin.Queue{Name: fmt.Sprintf("queue-%08d-of-a-large-configuration", i), Attempts: 3})
	}
	data, err := platformstandin.CatalogueDocument(version, "a.example", queues)
	qt.Assert(d.t, err, qt.IsNil)
	d.rows.Put("op", "config", data)
}

// checkInTime checks that a version is in force at hosts in catalogueTime.
func (d *deployment) checkInTime(hosts []*hostProcess, version int) {
	d.t.Helper()
	begun := time.Now()
	for _, h := range hosts {
		d.awaitVersion(h, version)
		took := time.Since(begun)
		qt.Check(d.t, took < catalogueTime, qt.IsTrue, qt.Commentf("%s has version %d after %s", h.name, version, took))
	}
}

var readBytes = regexp.MustCompile(`vanillaquay_store_read_bytes_total (\d+)`)

// readBytes returns how many bytes hosts have read from the store.
func (d *deployment) readBytes(hosts []*hostProcess) int {
	total := 0
	for _, h := range hosts {
		r, err := http.Get(fmt.Sprintf("http://%s:9464/metrics", h.ip))
		qt.Assert(d.t, err, qt.IsNil)
		metrics, err := io.ReadAll(r.Body)
		qt.Check(d.t, r.Body.Close(), qt.IsNil)
		qt.Assert(d.t, err, qt.IsNil)
		n, err := strconv.Atoi(string(readBytes.FindSubmatch(metrics)[1]))
		qt.Assert(d.t, err, qt.IsNil)
		total += n
	}
	return total
}

// TestLargeVersionOverSharedLink guards against a version that is late (CONFIG) because each host
// of a region reads it over the same link, which cuts their reads off at a time limit.
func TestLargeVersionOverSharedLink(t *testing.T) {
	d, far := deployFar(t)
	earlier := d.readBytes(far)
	d.putLargeVersion(2)
	d.checkInTime(far, 2)
	row := len(d.rows.Value("op", "config")) * 4 / 3
	read := d.readBytes(far) - earlier
	qt.Check(t, read <= row*farHosts/2, qt.IsTrue, qt.Commentf("read %d bytes for a row of %d", read, row))
}

// TestLargeVersionAfterLossOfRegion guards against hosts that start together and never get a
// configuration, because their reads of it cut each other off.
func TestLargeVersionAfterLossOfRegion(t *testing.T) {
	d, far := deployFar(t)
	for _, h := range far {
		h.kill()
	}
	d.putLargeVersion(2)
	for _, h := range far {
		d.start(h)
	}
	d.checkInTime(far, 2)
}

package front_test

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/platformstandin"
)

// largeDocument returns a version of the queues of some 55 KB.
func largeDocument(t *testing.T, version int) []byte {
	var queues []platformstandin.Queue
	for i := range 400 {
		queues = append(queues, platformstandin.Queue{Name: fmt.Sprintf("queue-%d", i), Attempts: 3})
	}
	data, err := platformstandin.CatalogueDocument(version, "a.example", queues)
	qt.Assert(t, err, qt.IsNil)
	return data
}

var inForce = regexp.MustCompile(`configuration in force.*"version":(\d+)|"version":(\d+).*configuration in force`)

// versions returns the versions of the queues that a host has put in force, in order.
func (h *hostProcess) versions() []int {
	var versions []int
	for _, line := range strings.Split(h.output.String(), "\n") {
		if m := inForce.FindStringSubmatch(line); m != nil {
			n, _ := strconv.Atoi(m[1] + m[2])
			versions = append(versions, n)
		}
	}
	return versions
}

// Large versions of the queues come in quick succession. If all hosts read each of them, the
// links are busy with them alone, calls to workers are answered too late, and their tasks start
// again elsewhere (TWICE). The newest version must be in force in time all the same, and none
// may follow a newer one (CONFIG).
func TestHostsReadTheNewestOfLargeVersions(t *testing.T) {
	c := qt.New(t)
	d := deploy(t, 3, 2, 100*time.Millisecond)
	const last = 41
	for version := 2; version <= last; version++ {
		d.rows.Put("op", "config", largeDocument(t, version))
		time.Sleep(100 * time.Millisecond)
	}
	written := time.Now().Add(-100 * time.Millisecond)
	for _, h := range d.hosts {
		d.await(h.name+" has the last version", func() bool { v := h.versions(); return v[len(v)-1] == last })
	}
	c.Check(time.Since(written) < 2500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(written)))
	for _, h := range d.hosts {
		versions := h.versions()
		c.Check(len(versions) <= 12, qt.IsTrue, qt.Commentf("%s: %v", h.name, versions))
		for i, v := range versions[1:] {
			c.Check(v > versions[i], qt.IsTrue, qt.Commentf("%s: %v", h.name, versions))
		}
	}
}

// A change of a small row costs little, and must not wait for a pause.
func TestSmallVersionsAreInForceAtOnce(t *testing.T) {
	c := qt.New(t)
	d := deploy(t, 2, 2, 100*time.Millisecond)
	for version := 2; version <= 6; version++ {
		document, err := platformstandin.CatalogueDocument(version, "a.example", []platformstandin.Queue{{Name: "plain", Attempts: 3}})
		c.Assert(err, qt.IsNil)
		written := time.Now()
		d.rows.Put("op", "config", document)
		for _, h := range d.hosts {
			d.await(h.name, func() bool { v := h.versions(); return v[len(v)-1] == version })
		}
		c.Check(time.Since(written) < 300*time.Millisecond, qt.IsTrue, qt.Commentf("version %d: %s", version, time.Since(written)))
	}
}

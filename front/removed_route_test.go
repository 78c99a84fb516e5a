package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// setRoutes writes a version of the operator's configuration with the given routes, all of whose jobs
// have one attempt.
func (d *deployment) setRoutes(version int, names ...string) {
	var routes []string
	for _, name := range names {
		routes = append(routes, fmt.Sprintf(`{"name":%q,"host":"a.example","path_prefix":"/plain/","timeout_ms":3000,"slo_ms":500,"service":"s","attempts":1,"stretch":2}`, name))
	}
	d.rows.Put("op", "config", []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"s"}]}`, version, strings.Join(routes, ","))))
}

// awaitStatus waits until a call at the path has the given status at all hosts.
func (d *deployment) awaitStatus(status int) {
	d.t.Helper()
	for _, h := range d.hosts {
		d.await(h.name+" has the configuration", func() bool {
			got, _ := d.call(h, http.MethodGet, "/plain/", "")
			return got == status
		})
	}
}

// LOST (review/15): the route of accepted jobs is removed with none in its place, all hosts are killed, and
// the second steps are started by an owner that has never seen the route.
func TestJobsOfRemovedRouteAfterRestartOfAllHosts(t *testing.T) {
	d := deploy(t, 3, 4, 1500*time.Millisecond)
	for n := range 4 {
		status, _ := d.call(d.hosts[n%3], http.MethodPost, path("plain", n),
			`{"spec":"x","steps":[{"replicas":1,"cpu":2000,"mem_mb":100,"estimate_ms":300},{"replicas":1,"cpu":2000,"mem_mb":100,"estimate_ms":300,"after":[0]}]}`)
		qt.Assert(t, status, qt.Equals, http.StatusOK)
	}
	d.await("first steps", func() bool { return d.monitor.Starts() == 4 })
	d.setRoutes(2)
	d.awaitStatus(http.StatusNotFound)
	for _, method := range []string{http.MethodGet, http.MethodDelete, http.MethodPost} {
		status, _ := d.call(d.hosts[0], method, path("plain", 0), jobBody(1))
		qt.Check(t, status, qt.Equals, http.StatusNotFound, qt.Commentf(method))
	}
	for _, h := range d.hosts {
		h.kill()
	}
	for _, h := range d.hosts {
		d.start(h)
	}
	d.await("second steps", func() bool { return d.monitor.Starts() >= 8 })
	d.setRoutes(3, "other")
	d.awaitStatus(http.StatusOK)
	d.awaitDone(d.hosts[0], "plain", 0, 4)
}

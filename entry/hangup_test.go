package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/caller"
	"github.com/vanillaquay/vanillaquay/operator"
	"github.com/vanillaquay/vanillaquay/partition"
	"github.com/vanillaquay/vanillaquay/platformstandin"
	"github.com/vanillaquay/vanillaquay/quantity"
	"github.com/vanillaquay/vanillaquay/task"
)

// partitionMove describes a partition that e1 should own once its current owner has
// stopped.
type partitionMove struct {
	partition string
	// team is a team whose work the partition holds.
	team int
	// owner owns the partition, and other is the third member of three.
	owner, other string
}

// findPartitionMove returns a partition that moves to e1 when its owner stops.
func (c *cell) findPartitionMove(t *testing.T) partitionMove {
	layout := partition.Layout{Regions: c.settings.Regions, PerRegion: c.settings.PartitionsPerRegion}
	for team := range 8 {
		name := layout.PartitionOf(task.Key{Team: fmt.Sprintf("team%d", team), ID: "x"}, "", 0)
		for _, h := range []partitionMove{{name, team, "e2", "e3"}, {name, team, "e3", "e2"}} {
			key := partition.PartitionPrefix + name
			if c.preferred(key, []string{"e1", "e2", "e3"}) == h.owner && c.preferred(key, []string{"e1", h.other}) == "e1" {
				return h
			}
		}
	}
	t.Fatal("no partition goes to e1")
	return partitionMove{}
}

// ready reports whether a host has read the journal of the partition.
func (h partitionMove) ready(t *testing.T, c *cell, host string) bool {
	return slices.ContainsFunc(c.dump(t, host).Partitions, func(p operator.Partition) bool { return p.Name == h.partition && p.Ready })
}

// dial opens a connection to a host's address for callers.
func (c *cell) dial(t *testing.T, host string) net.Conn {
	connection, err := net.Dial("tcp", c.settings.Hosts[host].Callers)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// ask sends a request of the team to a host.
func (h partitionMove) ask(t *testing.T, c *cell, host, method, path, body string) (int, caller.Answer) {
	status, answer, err := c.call(t.Context(), host, fmt.Sprintf("team%d", h.team), method, path, body)
	qt.Assert(t, err, qt.IsNil)
	return status, answer
}

// TestFirstTryDoesNotRunAfterCallerHungUp guards against work that runs after its
// caller was answered that it did not. The first try goes to a host that does not read
// it yet, as if paused. Its caller hangs up and repeats the request through another
// host, and the partition's owner refuses it while the table is down. Then the
// partition gets a new owner, which does not know of the refusal, and the first host
// resumes reading.
func TestFirstTryDoesNotRunAfterCallerHungUp(t *testing.T) {
	t.Parallel()
	c := prepareCell(t, 3, 1, "centro")
	// With one connection at a time, e1 reads the second once the first is closed.
	c.settings = c.settings.WithDefaults()
	limits := c.settings.Limits
	c.settings.Limits.Connections, c.settings.Limits.HeaderTimeout = 1, quantity.Duration(time.Hour)
	c.start(t, "e1")
	c.settings.Limits = limits
	c.start(t, "e2")
	c.start(t, "e3")
	await(t, "first owners acquire their resources", func() bool { return c.settled(t, "e1", "e2", "e3") })
	h := c.findPartitionMove(t)
	submission := func(id string, kind task.Kind) string {
		return fmt.Sprintf(`{"ID":%q,"Kind":%q,"Size":{"Processors":0.1},"Deadline":%q}`, id, kind,
			time.Now().Add(waitTimeout).Format(time.RFC3339))
	}
	await(t, "the owner accepts work", func() bool {
		_, answer := h.ask(t, c, h.other, http.MethodPost, "/v1/work/", submission("run", task.Batch))
		return answer.State == task.Accepted
	})
	first, second := c.dial(t, "e1"), c.dial(t, "e1")
	repeat := submission("seat", task.Request)
	body := strings.Replace(repeat, "{", `{"FirstTry":true,`, 1)
	_, err := fmt.Fprintf(second, "POST /v1/work/ HTTP/1.1\r\nHost: e1\r\nAuthorization: Bearer t-team%d\r\nContent-Length: %d\r\n\r\n%s",
		h.team, len(body), body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, second.Close(), qt.IsNil)

	c.server.SetFaults(platformstandin.Faults{TableDown: true})
	_, refusal := h.ask(t, c, h.other, http.MethodPost, "/v1/work/", repeat)
	c.server.SetFaults(platformstandin.Faults{})
	qt.Assert(t, refusal.State, qt.Equals, task.NotRun, qt.Commentf("%+v", refusal))
	c.stop(t, h.owner)
	await(t, "the new owner reads the journal", func() bool { return h.ready(t, c, "e1") })

	qt.Assert(t, first.Close(), qt.IsNil)
	// e1 reads this connection once it has finished with the second one.
	status, now := h.ask(t, c, "e1", http.MethodGet, "/v1/work/seat", "")
	qt.Assert(t, status, qt.Equals, http.StatusNotFound, qt.Commentf("%+v", now))
}

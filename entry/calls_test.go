package entry_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/caller"
	"github.com/vanillaquay/vanillaquay/partition"
	"github.com/vanillaquay/vanillaquay/settings"
	"github.com/vanillaquay/vanillaquay/task"
)

// callCell is a cell of two hosts with a team whose partition e1 owns, so that the
// team's calls through e2 are forwarded. No worker responds, so that calls stay open.
type callCell struct {
	*cell
	team string
	// cancel cancels the open calls.
	cancel context.CancelFunc
	ctx    context.Context
	wait   sync.WaitGroup
}

func startCallCell(t *testing.T, limits func(*settings.Limits)) *callCell {
	c := &callCell{cell: prepareCell(t, 2, 1, "centro")}
	c.settings = c.settings.WithDefaults()
	limits(&c.settings.Limits)
	c.run(t)
	c.ready(t)
	names := []string{"e1", "e2"}
	await(t, "both hosts own their shares", func() bool { return c.settled(t, names...) })
	layout := partition.Layout{Regions: c.settings.Regions, PerRegion: c.settings.PartitionsPerRegion}
	for team := range c.settings.Teams {
		key := partition.PartitionPrefix + layout.PartitionOf(task.Key{Team: team, ID: "x"}, "", 0)
		if c.preferred(key, names) == "e1" {
			c.team = team
		}
	}
	qt.Assert(t, c.team, qt.Not(qt.Equals), "")
	c.ctx, c.cancel = context.WithCancel(context.Background())
	t.Cleanup(c.wait.Wait)
	t.Cleanup(c.cancel)
	await(t, "e1 answers a query through e2", c.answersAcrossHosts)
	return c
}

// answersAcrossHosts reports whether e2 can query e1 for unknown work and receives the
// answer, for which both hosts must have opened their connections.
func (c *callCell) answersAcrossHosts() bool {
	answer, err := c.send("GET", "e2", "/v1/work/nobody-knows", "")
	return err == nil && answer.Code == "UnknownID"
}

// submit sends work of the team and waits for the answer.
func (c *callCell) submit(host, id string) (caller.Answer, error) {
	body := fmt.Sprintf(`{"ID":%q,"Kind":"Batch","RunTime":"1ms","Size":{"Processors":0.1},"FirstTry":true}`, id)
	return c.send("POST", host, "/v1/work?wait", body)
}

func (c *callCell) send(method, host, path, body string) (caller.Answer, error) {
	ctx, cancel := context.WithTimeout(c.ctx, waitTimeout)
	defer cancel()
	_, answer, err := c.call(ctx, host, c.team, method, path, body)
	return answer, err
}

// holdCall keeps a call open until cancel is called. The call is sent again while the
// host refuses it because it has not read the owners yet.
func (c *callCell) holdCall(host, id string) {
	c.wait.Go(func() {
		for c.ctx.Err() == nil {
			if answer, err := c.submit(host, id); err == nil && answer.Code != "OwnerNotReachable" {
				return
			}
		}
	})
}

// checkRefused checks that one more call is refused at once, as certainly not run and
// with a time to retry.
func (c *callCell) checkRefused(t *testing.T, host string) {
	answer, err := c.submit(host, "refused")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, answer.State, qt.Equals, task.NotRun)
	qt.Assert(t, answer.Code, qt.Equals, "TooManyCalls")
	qt.Assert(t, answer.RetryAfter > 0, qt.IsTrue)
}

// TestCallsOfOwnCallersAreBounded guards against an unbounded number of open calls of a
// host's own callers.
func TestCallsOfOwnCallersAreBounded(t *testing.T) {
	t.Parallel()
	c := startCallCell(t, func(l *settings.Limits) { l.OpenCalls = 2 })
	c.holdCall("e1", "first")
	c.holdCall("e1", "second")
	await(t, "two calls open", func() bool { return c.dump(t, "e1").Calls == 2 })
	c.checkRefused(t, "e1")
	// A call that ends frees its slot.
	c.cancel()
	await(t, "no call open", func() bool { return c.dump(t, "e1").Calls == 0 })
}

// TestCallsOfOtherHostsAreBounded guards against an unbounded number of open calls
// forwarded by other hosts.
func TestCallsOfOtherHostsAreBounded(t *testing.T) {
	t.Parallel()
	c := startCallCell(t, func(l *settings.Limits) { l.PeerCalls = 2 })
	c.holdCall("e2", "first")
	c.holdCall("e2", "second")
	await(t, "two calls forwarded by e2", func() bool { return c.dump(t, "e1").Forwarded == 2 })
	c.checkRefused(t, "e2")
}

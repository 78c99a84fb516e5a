package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/configuration"
	"github.com/vanillaquay/vanillaquay/operator"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/platformstandin"
)

// maxChangeTime bounds the time until a change is in force at every host.
const maxChangeTime = 4 * time.Second

// ready waits until every host is ready and knows all others.
func (c *cell) ready(t *testing.T) {
	for name := range c.hosts {
		await(t, name+" is ready", func() bool {
			var r operator.Readiness
			_, err := c.operate(t.Context(), name, "GET", "/ready", "", &r)
			if err != nil || !r.Ready {
				return false
			}
			var d operator.Dump
			_, err = c.operate(t.Context(), name, "GET", "/v1/dump", "", &d)
			return err == nil && d.MembersTotal == len(c.hosts)
		})
	}
}

// TestChangeWithLostAnswerIsInForceOnce guards against a change that fails or is made
// twice because the store's answers to its writes are lost.
func TestChangeWithLostAnswerIsInForceOnce(t *testing.T) {
	c := newCell(t, 3, 1, "centro", "austral")
	c.ready(t)
	c.server.SetFaults(platformstandin.Faults{LoseAnswers: 3})
	started := time.Now()
	var r operator.Result
	status, err := c.operate(t.Context(), "e1", "PUT", "/v1/configuration", `{"Teams": {"team1": {"Weight": 2}}}`, &r)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, r, qt.DeepEquals, operator.Result{State: "InForce", Version: 1})
	qt.Assert(t, time.Since(started) < maxChangeTime, qt.IsTrue)
	for name := range c.hosts {
		var in configuration.Configuration
		_, err := c.operate(t.Context(), name, "GET", "/v1/configuration?inforce", "", &in)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, in.Version, qt.Equals, uint64(1))
		qt.Assert(t, in.Teams["team1"].Weight, qt.Equals, 2)
	}
}

// TestPushReachesHostCutFromStore checks that a host that can't read the store still
// applies a change pushed by another host.
func TestPushReachesHostCutFromStore(t *testing.T) {
	c := newCell(t, 3, 1, "centro")
	c.ready(t)
	c.hosts["e2"].path.cut.Store(true)
	var r operator.Result
	_, err := c.operate(t.Context(), "e1", "PUT", "/v1/hosts/e3/drain", "", &r)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(r.State), qt.Equals, "InForce")
	var in configuration.Configuration
	_, err = c.operate(t.Context(), "e2", "GET", "/v1/configuration?inforce", "", &in)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, in.DrainedHosts, qt.DeepEquals, []string{"e3"})
}

// TestEachVersionIsPushedOnce guards against repeated pushes when several operators
// change the configuration at the same time and wait for the same members.
func TestEachVersionIsPushedOnce(t *testing.T) {
	const operators, changes = 6, 5
	c := newCell(t, 3, 1, "centro", "austral")
	c.ready(t)
	var wait sync.WaitGroup
	for i := range operators {
		wait.Go(func() {
			for done := 0; done < changes && t.Context().Err() == nil; {
				// A change that lost to a concurrent one is retried.
				var r operator.Result
				path := fmt.Sprintf("/v1/teams/team%d", i)
				if _, err := c.operate(t.Context(), "e1", "PATCH", path, fmt.Sprintf(`{"Weight": %d}`, done+2), &r); err == nil && r.State == "InForce" {
					done++
				}
			}
		})
	}
	wait.Wait()
	var metrics struct{ Links peer.Stats }
	_, err := c.operate(t.Context(), "e1", "GET", "/debug/vars", "", &metrics)
	qt.Assert(t, err, qt.IsNil)
	for _, name := range []string{"e2", "e3"} {
		sent := metrics.Links.Links[name].Sent[peer.KindConfiguration].Messages
		t.Logf("%d pushes of %d versions to %s", sent, operators*changes, name)
		qt.Assert(t, sent > 0 && sent <= operators*changes, qt.IsTrue)
	}
}

// TestPollAppliesChangeAfterCut checks that a host applies a change that no host
// pushed, once it can read the store again.
func TestPollAppliesChangeAfterCut(t *testing.T) {
	c := newCell(t, 2, 1, "centro")
	c.ready(t)
	c.hosts["e2"].path.cut.Store(true)
	table := configuration.Register{Table: c.server.Direct()}
	_, err := table.Propose(t.Context(), configuration.Configuration{Drained: []string{"w0"}}, "ana")
	qt.Assert(t, err, qt.IsNil)
	c.hosts["e2"].path.cut.Store(false)
	took := await(t, "version 1 is in force at e2", func() bool {
		var in configuration.Configuration
		_, err := c.operate(t.Context(), "e2", "GET", "/v1/configuration?inforce", "", &in)
		return err == nil && in.Version == 1
	})
	t.Logf("in force %v after the store was reachable again", took)
	qt.Assert(t, took < maxChangeTime, qt.IsTrue)
}

// TestDumpsAndMetricsWhileWorkArrives checks that dumps and metrics stay complete under
// load.
func TestDumpsAndMetricsWhileWorkArrives(t *testing.T) {
	c := newCell(t, 2, 2, "centro")
	c.ready(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	var wait sync.WaitGroup
	for i := range 4 {
		wait.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				body := fmt.Sprintf(`{"ID": "batch-%d-%d", "Kind": "Batch", "Size": {"Processors": 1}}`, i, n)
				// Requests still open at the end of the test are ignored.
				_, _, _ = c.call(ctx, "e1", fmt.Sprintf("team%d", i), "POST", "/v1/work/", body)
			}
		})
	}
	seen := map[string]bool{}
	for ctx.Err() == nil {
		for name := range c.hosts {
			var d operator.Dump
			if _, err := c.operate(ctx, name, "GET", "/v1/dump?limit=5", "", &d); err != nil {
				break
			}
			qt.Check(t, d.Missing, qt.HasLen, 0)
			qt.Check(t, len(d.Work.Unanswered) <= 5, qt.IsTrue)
			for _, p := range d.Partitions {
				seen[p.Name] = true
			}
			var metrics map[string]any
			if _, err := c.operate(ctx, name, "GET", "/debug/vars", "", &metrics); err == nil {
				qt.Check(t, metrics["Queues"], qt.IsNotNil)
			}
		}
	}
	wait.Wait()
	qt.Assert(t, seen, qt.HasLen, 4)
}

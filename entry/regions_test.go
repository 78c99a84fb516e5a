package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/vanillaquay/vanillaquay/caller"
	"github.com/vanillaquay/vanillaquay/partition"
	"github.com/vanillaquay/vanillaquay/platformstandin"
	"github.com/vanillaquay/vanillaquay/proxytest"
	"github.com/vanillaquay/vanillaquay/quantity"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workerstandin"
)

// regionPair is a cell of one entry host and two workers in each of two regions.
// Messages from one host to the other pass through a proxy.
type regionPair struct {
	*cell
	proxies map[string]*proxytest.Proxy
	agents  []*workerstandin.Agent
	// localTeam and remoteTeam are teams whose work is held in region a and in region
	// b.
	localTeam, remoteTeam string
}

func startRegions(t *testing.T) *regionPair {
	// The leak check runs last, after everything else has ended.
	t.Cleanup(func() {
		http.DefaultTransport.(*http.Transport).CloseIdleConnections()
		goleak.VerifyNone(t)
	})
	p := &regionPair{cell: prepareCell(t, 2, 0, "a", "b"), proxies: map[string]*proxytest.Proxy{}}
	for _, region := range p.settings.Regions {
		for i := range 2 {
			p.agents = append(p.agents, p.addWorker(t, fmt.Sprintf("%s-w%d", region, i), region, region+"-r1", nil))
		}
	}
	for name, hostSettings := range p.settings.Hosts {
		proxy := proxytest.New(t, hostSettings.Peers)
		t.Cleanup(proxy.Close)
		hostSettings.Advertise = proxy.Address()
		p.settings.Hosts[name], p.proxies[name] = hostSettings, proxy
	}
	p.localTeam, p.remoteTeam = p.teamIn(t, "a"), p.teamIn(t, "b")
	p.run(t)
	return p
}

// teamIn returns a team whose work is held in a region.
func (p *regionPair) teamIn(t *testing.T, region string) string {
	layout := partition.Layout{Regions: p.settings.Regions, PerRegion: p.settings.PartitionsPerRegion}
	for name := range p.settings.Teams {
		if strings.HasPrefix(layout.PartitionOf(task.Key{Team: name, ID: "x"}, "", 0), region+"-") {
			return name
		}
	}
	t.Fatalf("no team has its work in region %s", region)
	return ""
}

// submit sends work of a team to a host and returns the answer.
func (p *regionPair) submit(t *testing.T, host, team string, w task.Work) caller.Answer {
	body, err := json.Marshal(caller.Work{
		ID: w.ID, Kind: w.Kind, Tasks: 1, Idempotent: w.Idempotent, FirstTry: w.FirstTry,
		Size: quantity.Size{Processors: 0.1}, RunTime: quantity.Duration(time.Millisecond),
	})
	qt.Assert(t, err, qt.IsNil)
	status, answer, err := p.call(t.Context(), host, team, "POST", "/v1/work/?wait", string(body))
	if status != 0 {
		qt.Assert(t, err, qt.IsNil)
	}
	return answer
}

// awaitRun submits work again under new IDs until it runs.
func (p *regionPair) awaitRun(t *testing.T, host, team string, w task.Work) {
	n := 0
	await(t, "a run of "+team+" through "+host, func() bool {
		n++
		w.ID = fmt.Sprintf("until-%d", n)
		return p.submit(t, host, team, w).State == task.Ran
	})
}

// cut cuts the links between the regions, or restores them.
func (p *regionPair) cut(apart bool) {
	for _, proxy := range p.proxies {
		proxy.Cut(apart)
	}
}

// TestRegionsCutApart cuts the links between two regions. Requests that are safe to
// repeat and work held in the caller's region must still run, and unsafe requests for
// the other region must be refused at once.
func TestRegionsCutApart(t *testing.T) {
	p := startRegions(t)
	unsafe := task.Work{Kind: task.Request, FirstTry: true}
	for _, host := range []string{"e1", "e2"} {
		p.awaitRun(t, host, p.localTeam, unsafe)
		p.awaitRun(t, host, p.remoteTeam, unsafe)
	}
	p.cut(true)

	// A request that is safe to repeat runs in the region of its caller.
	start := time.Now()
	safe := p.submit(t, "e1", p.remoteTeam, task.Work{ID: "safe", Kind: task.Request, Idempotent: true})
	qt.Assert(t, safe.State, qt.Equals, task.Ran, qt.Commentf("%+v", safe))
	qt.Assert(t, safe.ID, qt.Equals, "safe")
	qt.Assert(t, strings.HasPrefix(safe.Workers[0], "a-"), qt.IsTrue, qt.Commentf("%v", safe.Workers))
	t.Logf("safe request answered after %v", time.Since(start).Round(time.Millisecond))

	// An unsafe one is refused at once, with a time to retry.
	start = time.Now()
	answer := p.submit(t, "e1", p.remoteTeam, task.Work{ID: "unsafe", Kind: task.Request, FirstTry: true})
	qt.Assert(t, answer.State, qt.Equals, task.NotRun, qt.Commentf("%+v", answer))
	qt.Assert(t, answer.RetryAfter > 0, qt.IsTrue)
	t.Logf("unsafe request answered after %v", time.Since(start).Round(time.Millisecond))
	// Work that is held in the region of its caller still runs.
	p.awaitRun(t, "e1", p.localTeam, unsafe)

	p.cut(false)
	p.awaitRun(t, "e1", p.remoteTeam, unsafe)
}

// TestCallIsRepeatedAfterLostAnswer guards against work that runs twice, or whose
// caller gets no answer, when the link from the owner is cut and the link to it is not.
// The call is sent again with the same key.
func TestCallIsRepeatedAfterLostAnswer(t *testing.T) {
	p := startRegions(t)
	unsafe := task.Work{Kind: task.Request, FirstTry: true}
	p.awaitRun(t, "e1", p.remoteTeam, unsafe)
	p.awaitRun(t, "e2", p.localTeam, unsafe)
	p.proxies["e1"].Cut(true)
	answers := make(chan caller.Answer, 1)
	go func() {
		answers <- p.submit(t, "e1", p.remoteTeam, task.Work{ID: "once", Kind: task.Request, FirstTry: true})
	}()
	once := p.remoteTeam + "/once/"
	await(t, "the start of the request", func() bool { return startsOf(once, p.agents...) > 0 })
	p.proxies["e1"].Cut(false)
	answer := <-answers
	qt.Assert(t, answer.State, qt.Equals, task.Ran, qt.Commentf("%+v", answer))
	qt.Assert(t, startsOf(once, p.agents...), qt.Equals, 1)
}

// TestLateCopyOfFirstTryDoesNotRun guards against work that runs after its caller was
// answered that it did not. The first try is sent over a slow link, on which the host
// sends a second copy before the first arrives. The caller hangs up and repeats the
// request through the owner's host, which refuses it while the table is down. Neither
// copy may run when it arrives.
func TestLateCopyOfFirstTryDoesNotRun(t *testing.T) {
	// A copy takes 9 s, a host sends another one after 5 s.
	const bytesPerSecond, payload, secondCopy = 20_000, 180_000, 6 * time.Second
	p := startRegions(t)
	p.awaitRun(t, "e1", p.remoteTeam, task.Work{Kind: task.Request, FirstTry: true})
	p.proxies["e2"].LimitRate(bytesPerSecond)
	first := caller.Work{
		ID: "once", Kind: task.Request, FirstTry: true, Payload: make([]byte, payload),
		Size: quantity.Size{Processors: 0.1}, RunTime: quantity.Duration(time.Millisecond),
	}
	body, err := json.Marshal(first)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(t.Context(), secondCopy)
	defer cancel()
	_, _, err = p.call(ctx, "e1", p.remoteTeam, "POST", "/v1/work/?wait", string(body))
	qt.Assert(t, err, qt.ErrorIs, context.DeadlineExceeded)

	p.server.SetFaults(platformstandin.Faults{TableDown: true})
	first.FirstTry = false
	body, err = json.Marshal(first)
	qt.Assert(t, err, qt.IsNil)
	_, refusal, err := p.call(t.Context(), "e2", p.remoteTeam, "POST", "/v1/work/?wait", string(body))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, refusal.State, qt.Equals, task.NotRun, qt.Commentf("%+v", refusal))
	p.server.SetFaults(platformstandin.Faults{})

	// What is sent after both copies arrives after them.
	p.awaitRun(t, "e1", p.remoteTeam, task.Work{Kind: task.Request, FirstTry: true})
	qt.Assert(t, startsOf(p.remoteTeam+"/once/", p.agents...), qt.Equals, 0)
}

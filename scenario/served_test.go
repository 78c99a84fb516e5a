package scenario_test

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/task"
)

// leaveGrace is how long after it begins to leave a worker may receive new work.
const leaveGrace = 2 * time.Second

// maxRefusalTime bounds the 90th percentile of the time to a refusal while the store
// is down.
const maxRefusalTime = 100 * time.Millisecond

// markCommand records the current time under a name: mark NAME
func markCommand(ts *testscript.TestScript, _ bool, args []string) {
	cellOf(ts).marks[args[0]] = time.Now()
}

// servedCommand checks the requests that were sent between two marks: at least PERCENT
// of the idempotent ones ran on the first try. With a second percentage, at least that
// share of the non-idempotent ones did; without it, nine in ten refusals of these
// (answered as NotRun) took at most maxRefusalTime:
//
//	served FROM TO PERCENT [PERCENT]
func servedCommand(ts *testscript.TestScript, _ bool, args []string) {
	c := cellOf(ts)
	safe, unsafe := c.firstTries(c.marks[args[0]], c.marks[args[1]])
	safe.check(ts, "safe", args[2])
	if len(args) > 3 {
		unsafe.check(ts, "unsafe", args[3])
		return
	}
	refusals := unsafe.refusals
	if len(refusals) == 0 {
		return
	}
	ts.Logf("served: %d refusals, p50 %v, p90 %v, p99 %v, max %v", len(refusals),
		quantile(refusals, 50), quantile(refusals, 90), quantile(refusals, 99), quantile(refusals, 100))
	if quantile(refusals, 90) > maxRefusalTime {
		cellOf(ts).fatalf(ts, "refusals took %v at p90, over the limit", quantile(refusals, 90))
	}
}

// firstTries counts the first answers of a group of requests by outcome.
type firstTries struct {
	sent, ran int
	// refusals holds the response time of each answer NotRun.
	refusals []time.Duration
}

// firstTries returns the first tries of the requests that were sent between two
// times, split by whether they are safe to repeat.
func (c *cell) firstTries(from, to time.Time) (safe, unsafe firstTries) {
	for _, l := range c.loads {
		l.mu.Lock()
		for _, a := range l.calls {
			switch {
			case a.kind != task.Request || a.sent.Before(from) || a.sent.After(to):
			case a.idempotent:
				safe.add(a)
			default:
				unsafe.add(a)
			}
		}
		l.mu.Unlock()
	}
	return safe, unsafe
}

func (f *firstTries) add(a *call) {
	f.sent++
	switch a.firstAnswer.State {
	case task.Ran:
		f.ran++
	case task.NotRun:
		f.refusals = append(f.refusals, a.firstAnswered.Sub(a.sent))
	}
}

// check fails the scenario if fewer than minPercent ran on the first try.
func (f firstTries) check(ts *testscript.TestScript, kind, minPercent string) {
	percent, err := strconv.Atoi(minPercent)
	ts.Check(err)
	ts.Logf("served: %d of %d %s requests ran on the first try", f.ran, f.sent, kind)
	if f.sent == 0 || f.ran*100 < f.sent*percent {
		cellOf(ts).fatalf(ts, "only %d of %d %s requests ran on the first try", f.ran, f.sent, kind)
	}
}

// hostCommand changes the platform's list of workers:
//
//	host leaving|live|gone NAME
//	host drained NAME      an operator has drained it
//
// A worker that is leaving or drained must receive no new work after leaveGrace; the
// check command verifies this.
func hostCommand(ts *testscript.TestScript, _ bool, args []string) {
	c := cellOf(ts)
	path := tablestore.HostsPath + "/" + args[1]
	if args[0] == "gone" {
		c.callStandin(ts, http.MethodDelete, "platform", path, nil)
		return
	}
	if args[0] == "drained" {
		c.leaveTimes[args[1]] = time.Now()
		return
	}
	h := c.host(ts, args[1])
	h.State = tablestore.Live
	delete(c.leaveTimes, h.ID)
	if args[0] == "leaving" {
		h.State = tablestore.Leaving
		c.leaveTimes[h.ID] = time.Now()
	}
	data, err := json.Marshal(h)
	ts.Check(err)
	c.callStandin(ts, http.MethodPut, "platform", path, data)
}

// host returns a worker as listed in hosts.json at the start of the cell.
func (c *cell) host(ts *testscript.TestScript, name string) tablestore.Host {
	data, err := os.ReadFile(filepath.Join(c.dir, "hosts.json"))
	ts.Check(err)
	var hosts []tablestore.Host
	ts.Check(json.Unmarshal(data, &hosts))
	for _, h := range hosts {
		if h.ID == name {
			return h
		}
	}
	ts.Fatalf("no worker %q", name)
	return tablestore.Host{}
}

// checkLeaving finds runs that started on a leaving worker after leaveGrace.
func (h *history) checkLeaving(leaving map[string]time.Time) {
	for _, runs := range h.byTask {
		for _, r := range runs {
			left, ok := leaving[r.worker]
			if ok && r.start.Sub(left) > leaveGrace {
				h.addViolation("%s started on %s %v after it began to leave", r.attempt, r.worker, r.start.Sub(left))
			}
		}
	}
}

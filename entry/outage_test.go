package entry_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/platformstandin"
	"github.com/vanillaquay/vanillaquay/task"
)

// Load during an outage, and its limits.
const (
	loadDuration    = 4 * time.Second
	requestInterval = 10 * time.Millisecond
	// maxRefusalTime bounds how long a request that is unsafe to repeat may wait for
	// its refusal while the store is down.
	maxRefusalTime = 100 * time.Millisecond
)

// startWorkers runs worker stand-ins, two to a rack.
func (c *cell) startWorkers(t *testing.T, n int) {
	for i := range n {
		c.addWorker(t, fmt.Sprintf("w%d", i+1), "centro", fmt.Sprintf("centro-r%d", i/2), nil)
	}
}

// sendLoad sends requests at a fixed rate, every other one unsafe to repeat.
func (c *cell) sendLoad(name string) []reply {
	var mu sync.Mutex
	var replies []reply
	var all sync.WaitGroup
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for n := range int(loadDuration / requestInterval) {
		<-ticker.C
		all.Go(func() {
			r := c.request(fmt.Sprintf("e%d", n%3+1), n/2%8, fmt.Sprintf("%s-%d", name, n), n%2 == 0)
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, r)
		})
	}
	all.Wait()
	return replies
}

// runsEverywhere reports whether a request of every team runs through every host.
func (c *cell) runsEverywhere(round int) bool {
	for team := range 8 {
		for _, host := range []string{"e1", "e2", "e3"} {
			if c.request(host, team, fmt.Sprintf("first-%s-%d", host, round), false).state != task.Ran {
				return false
			}
		}
	}
	return true
}

func count(replies []reply, idempotent bool, state task.State) int {
	n := 0
	for _, r := range replies {
		if r.idempotent == idempotent && r.state == state {
			n++
		}
	}
	return n
}

// latencyStats returns the median, the 99th percentile and the maximum latency of
// unsafe requests that were answered with the given state.
func latencyStats(replies []reply, state task.State) (median, p99, longest time.Duration) {
	var latencies []time.Duration
	for _, r := range replies {
		if !r.idempotent && r.state == state {
			latencies = append(latencies, r.latency)
		}
	}
	if len(latencies) == 0 {
		return 0, 0, 0
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2], latencies[len(latencies)*99/100], latencies[len(latencies)-1]
}

// TestOutageOfStore makes the store fail, or hang, under load. Requests that are safe
// to repeat must still run, others must be refused at once, and all must run again once
// the store is back.
func TestOutageOfStore(t *testing.T) {
	for name, f := range map[string]platformstandin.Faults{"Down": {TableDown: true}, "Hangs": {TableHangs: true}} {
		t.Run(name, func(t *testing.T) {
			c := newCell(t, 3, 0, "centro")
			c.startWorkers(t, 8)
			n := 0
			ready := await(t, "requests run everywhere", func() bool {
				n++
				return c.settled(t, "e1", "e2", "e3") && c.runsEverywhere(n)
			})
			t.Logf("ready after %v", ready)
			before := c.sendLoad("before")
			c.server.SetFaults(f)
			during := c.sendLoad("during")
			c.server.SetFaults(platformstandin.Faults{})
			recoveryStart := time.Now()
			await(t, "requests run after the outage", func() bool {
				n++
				return c.request("e1", n%8, fmt.Sprintf("healed-%d", n), false).state == task.Ran
			})
			recovery := time.Since(recoveryStart)
			after := c.sendLoad("after")
			median, p99Before, _ := latencyStats(before, task.Ran)
			t.Logf("unsafe before: median %v, p99 %v", median, p99Before)
			_, p99, longest := latencyStats(during, task.NotRun)
			t.Logf("safe: ran %d before, %d during, %d after", count(before, true, task.Ran), count(during, true, task.Ran), count(after, true, task.Ran))
			t.Logf("unsafe: ran %d before, %d during, %d after", count(before, false, task.Ran), count(during, false, task.Ran), count(after, false, task.Ran))
			t.Logf("refusals during: %d, p99 %v, longest %v; unknown %d; first run %v after the outage",
				count(during, false, task.NotRun), p99, longest, count(during, false, task.Unknown), recovery)
			qt.Check(t, 10*count(during, true, task.Ran) >= 9*count(before, true, task.Ran), qt.IsTrue)
			qt.Check(t, count(during, false, task.NotRun) > 0, qt.IsTrue)
			qt.Check(t, p99 < maxRefusalTime, qt.IsTrue)
			qt.Check(t, 10*count(after, false, task.Ran) >= 9*count(before, false, task.Ran), qt.IsTrue)
		})
	}
}

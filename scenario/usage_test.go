package scenario_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/vanillaquay/vanillaquay/platformstandin"
	"github.com/vanillaquay/vanillaquay/task"
)

// ticksPerSecond is the rate of the clock ticks in which /proc on Linux gives
// processor time.
const ticksPerSecond = 100

// usageCommand logs the memory and processor time of the cell's processes, how long
// work waited, and the reads and writes of the platform:
//
//	usage [WRITES]
//
// WRITES bounds the platform's writes in any one second.
func usageCommand(ts *testscript.TestScript, _ bool, args []string) {
	c := cellOf(ts)
	c.mu.Lock()
	defer c.mu.Unlock()
	sums := map[string]usage{}
	for name, p := range c.processes {
		u, err := readUsage(p.command.Process.Pid)
		if err != nil {
			continue
		}
		sums[name[:1]] = sums[name[:1]].plus(u)
	}
	for kind, u := range sums {
		ts.Logf("usage: %s: %d processes, %d MiB, %.2f s of processor time", processKinds[kind], u.processes, u.memory>>20, u.processor.Seconds())
	}
	ts.Logf("usage: waits %s", c.waitSummary())
	counts := c.platformCounts(ts)
	ts.Logf("usage: platform %d writes, %d reads, at most %d writes in a second", counts.Writes, counts.Reads, counts.PeakWrites)
	if len(args) == 0 {
		return
	}
	limit, err := strconv.Atoi(args[0])
	ts.Check(err)
	if counts.PeakWrites > limit {
		ts.Fatalf("%d writes in a second, want at most %d", counts.PeakWrites, limit)
	}
}

var processKinds = map[string]string{"p": "platform", "w": "workers", "e": "entry hosts"}

// usage is the resource usage of one or more processes.
type usage struct {
	processes int
	// memory is the resident set in bytes.
	memory    int64
	processor time.Duration
}

func (u usage) plus(o usage) usage {
	return usage{u.processes + o.processes, u.memory + o.memory, u.processor + o.processor}
}

// readUsage reads the resource usage of a process from /proc.
func readUsage(pid int) (usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, err
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	var numbers [22]int64
	for i := range numbers {
		// Fields that are not numbers stay 0.
		numbers[i], _ = strconv.ParseInt(fields[i], 10, 64)
	}
	ticks := numbers[11] + numbers[12]
	return usage{
		processes: 1,
		memory:    numbers[21] * int64(os.Getpagesize()),
		processor: time.Duration(ticks) * time.Second / ticksPerSecond,
	}, nil
}

// waitSummary summarises the waits before the start by kind of work.
func (c *cell) waitSummary() string {
	byKind := map[string][]time.Duration{}
	for _, l := range c.loads {
		l.mu.Lock()
		for _, a := range l.calls {
			if a.answer.State == task.Ran {
				kind := string(a.kind)
				if a.kind == task.Request && !a.idempotent {
					kind = "Request (unsafe)"
				}
				byKind[kind] = append(byKind[kind], time.Duration(a.answer.Waited))
			}
		}
		l.mu.Unlock()
	}
	var parts []string
	for kind, waits := range byKind {
		parts = append(parts, fmt.Sprintf("%s: %d, p50 %v, p99 %v, max %v", kind, len(waits),
			quantile(waits, 50), quantile(waits, 99), quantile(waits, 100)))
	}
	return strings.Join(parts, "; ")
}

func (c *cell) platformCounts(ts *testscript.TestScript) platformstandin.Counts {
	response, err := http.Get("http://" + c.addresses["platform"] + "/standin/counts")
	ts.Check(err)
	defer response.Body.Close()
	var counts platformstandin.Counts
	ts.Check(json.NewDecoder(response.Body).Decode(&counts))
	return counts
}

package scenario_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/vanillaquay/vanillaquay/loopback"
	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/workerstandin"
)

// waitTimeout bounds every wait of a scenario. It is not a performance target.
const waitTimeout = 60 * time.Second

// retryInterval is the interval between two polls of a condition that a scenario
// waits for.
const retryInterval = 50 * time.Millisecond

// cell holds the processes of one scenario and what is known about them.
type cell struct {
	dir string
	mu  sync.Mutex
	// commands holds the command line of each process by name.
	commands  map[string][]string
	processes map[string]*process
	// addresses holds the listen address of each stand-in and entry host.
	addresses map[string]string
	workers   []string
	entries   []string
	network   *network
	loads     []*load
	// killTimes holds the times at which each process was killed.
	killTimes map[string][]time.Time
	// acceptedVersion is the highest configuration version that was accepted.
	acceptedVersion uint64
	watch           *versionWatch
	stopWatch       context.CancelFunc
	// marks holds the times recorded by the mark command, by name.
	marks map[string]time.Time
	// leaveTimes holds when each leaving or drained worker began to leave.
	leaveTimes map[string]time.Time
	// background is the work started by the meanwhile command.
	background background
}

// process is a running process of a cell.
type process struct {
	command *exec.Cmd
	done    chan struct{}
	err     error
}

type cellKey struct{}

// newCell prepares a cell without processes.
func newCell(e *testscript.Env) error {
	c := &cell{dir: e.WorkDir, commands: map[string][]string{}, processes: map[string]*process{}, addresses: map[string]string{},
		network: newNetwork(), killTimes: map[string][]time.Time{},
		marks: map[string]time.Time{}, leaveTimes: map[string]time.Time{}}
	e.Values[cellKey{}] = c
	e.Setenv("VANILLAQUAY_TOKEN", "t-domes")
	e.Setenv("VANILLAQUAY_OPERATOR_TOKEN", "t-ops")
	e.Defer(c.network.close)
	e.Defer(c.killAll)
	e.Defer(func() {
		for _, l := range c.loads {
			l.cancel()
			l.stopProbes()
		}
		if c.stopWatch != nil {
			c.stopWatch()
		}
	})
	return nil
}

func cellOf(ts *testscript.TestScript) *cell { return ts.Value(cellKey{}).(*cell) }

// cellCommand starts a platform, workers and entry hosts:
//
//	cell ENTRIES WORKERS [REGION...]
//
// Entry hosts e1, e2, ... and workers w1, w2, ... are spread over the regions;
// each region has two zones, and two workers share a rack. The address of eN for
// callers is in the variable eN, for operators in opsN. The tokens are
// t-NAME for the teams domes and plants and those of the load, t-ops for operators.
// Commands use the tokens of domes and of the operators by default.
func cellCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: cell ENTRIES WORKERS [REGION...]")
	}
	entries, err := strconv.Atoi(args[0])
	ts.Check(err)
	workers, err := strconv.Atoi(args[1])
	ts.Check(err)
	regions := args[2:]
	if len(regions) == 0 {
		regions = []string{"centro"}
	}
	c := cellOf(ts)
	c.writeHosts(ts, workers, regions)
	c.writeSettings(ts, entries, regions)
	for _, name := range c.processNames() {
		c.launch(ts, name)
	}
	c.awaitListeners(ts)
}

// awaitListeners waits until each stand-in accepts connections, so that a scenario
// can inject faults.
func (c *cell) awaitListeners(ts *testscript.TestScript) {
	for _, name := range append([]string{"platform"}, c.workers...) {
		retry(ts, func() error {
			connection, err := net.Dial("tcp", c.addresses[name])
			if err == nil {
				connection.Close()
			}
			return err
		})
	}
}

func (c *cell) writeHosts(ts *testscript.TestScript, workers int, regions []string) {
	var hosts []tablestore.Host
	for i := range workers {
		name := fmt.Sprintf("w%d", i+1)
		region := regions[i%len(regions)]
		number := i / len(regions)
		address := freeAddress(ts)
		hosts = append(hosts, tablestore.Host{
			ID: name, Region: region, Zone: fmt.Sprintf("%s-%d", region, number/2%2),
			Rack: fmt.Sprintf("%s-r%d", region, number/2), Address: address, State: tablestore.Live,
		})
		c.addresses[name] = address
		c.commands[name] = []string{"workerstandin", "--worker", name + "=" + address,
			"--journal", filepath.Join(c.dir, name+".runs")}
		c.workers = append(c.workers, name)
		ts.Setenv(name, address)
	}
	c.writeJSON(ts, "hosts.json", hosts)
}

func (c *cell) writeSettings(ts *testscript.TestScript, entries int, regions []string) {
	address := freeAddress(ts)
	c.addresses["platform"] = address
	ts.Setenv("platform", address)
	c.commands["platform"] = []string{"platformstandin", "--listen", address, "--hosts", filepath.Join(c.dir, "hosts.json")}
	hosts := map[string]any{}
	for i := range entries {
		name := fmt.Sprintf("e%d", i+1)
		region := regions[i%len(regions)]
		hosts[name] = c.entryHost(ts, name, region, fmt.Sprintf("%s-%d", region, i/len(regions)%2))
	}
	for _, region := range regions {
		c.writeJSON(ts, region+".json", map[string]any{
			"Platform": "http://" + c.network.forward(ts, address, regions[0], region),
		})
	}
	teams := map[string]any{"domes": map[string]any{"Token": "t-domes"}, "plants": map[string]any{"Token": "t-plants"}}
	for i := range loadTeams {
		teams[loadTeam(i)] = map[string]any{"Token": "t-" + loadTeam(i)}
	}
	c.writeJSON(ts, "base.json", map[string]any{
		"Platform": "http://" + address, "Regions": regions, "PartitionsPerRegion": 4, "Hosts": hosts,
		"Teams":     teams,
		"Operators": map[string]any{"ops": map[string]any{"Token": "t-ops"}},
	})
}

// entryHost returns the settings of one entry host.
func (c *cell) entryHost(ts *testscript.TestScript, name, region, zone string) map[string]any {
	callers, operators, peers := freeAddress(ts), freeAddress(ts), freeAddress(ts)
	c.commands[name] = []string{"vanillaquay", "serve", "--host", name,
		"--settings", filepath.Join(c.dir, "base.json"), "--overlay", filepath.Join(c.dir, region+".json")}
	c.entries = append(c.entries, name)
	c.addresses[name] = callers
	c.addresses["ops"+name[1:]] = operators
	c.network.regions[name] = region
	ts.Setenv(name, callers)
	ts.Setenv("ops"+name[1:], operators)
	return map[string]any{
		"Region": region, "Zone": zone, "Callers": callers, "Operators": operators, "Peers": peers,
		"Advertise": c.network.forward(ts, peers, region, region),
	}
}

func (c *cell) writeJSON(ts *testscript.TestScript, name string, value any) {
	data, err := json.MarshalIndent(value, "", "  ")
	ts.Check(err)
	ts.Check(os.WriteFile(filepath.Join(c.dir, name), data, 0o644))
}

// processNames returns the names of the processes in the order in which to start
// them.
func (c *cell) processNames() []string {
	var names []string
	for name := range c.commands {
		names = append(names, name)
	}
	order := func(name string) int { return strings.Index("pwe", name[:1]) }
	slices.SortFunc(names, func(a, b string) int {
		if d := order(a) - order(b); d != 0 {
			return d
		}
		return strings.Compare(a, b)
	})
	return names
}

// launch starts a process and appends its output to NAME.log.
func (c *cell) launch(ts *testscript.TestScript, name string) {
	line, ok := c.commands[name]
	if !ok {
		ts.Fatalf("no process %q", name)
	}
	path, err := exec.LookPath(line[0])
	ts.Check(err)
	log, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	ts.Check(err)
	defer log.Close()
	command := exec.Command(path, line[1:]...)
	command.Stdout, command.Stderr = log, log
	ts.Check(command.Start())
	p := &process{command: command, done: make(chan struct{})}
	go func() {
		p.err = command.Wait()
		close(p.done)
	}()
	c.mu.Lock()
	c.processes[name] = p
	c.mu.Unlock()
}

func (c *cell) killAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.processes {
		// A process that has already ended is not an error.
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.done
	}
}

func (c *cell) process(ts *testscript.TestScript, name string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.processes[name]
	if !ok {
		ts.Fatalf("no process %q", name)
	}
	return p
}

// startCommand starts processes of the cell again: start NAME...
func startCommand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		cellOf(ts).launch(ts, name)
	}
}

var signals = map[string]syscall.Signal{
	"TERM": syscall.SIGTERM, "QUIT": syscall.SIGQUIT, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
}

// signalCommand sends a signal to processes: signal SIGNAL NAME...
func signalCommand(ts *testscript.TestScript, _ bool, args []string) {
	s, ok := signals[args[0]]
	if !ok {
		ts.Fatalf("no signal %q", args[0])
	}
	for _, name := range args[1:] {
		p := cellOf(ts).process(ts, name)
		ts.Check(p.command.Process.Signal(s))
		if s == syscall.SIGKILL {
			<-p.done
			c := cellOf(ts)
			c.killTimes[name] = append(c.killTimes[name], time.Now())
		}
	}
}

// stoppedCommand waits for processes to end, with exit code 0 unless negated:
// stopped NAME...
func stoppedCommand(ts *testscript.TestScript, neg bool, args []string) {
	for _, name := range args {
		p := cellOf(ts).process(ts, name)
		select {
		case <-p.done:
		case <-time.After(waitTimeout):
			ts.Fatalf("%s has not stopped within the timeout", name)
		}
		if (p.err != nil) != neg {
			ts.Fatalf("%s: %v", name, p.err)
		}
	}
}

// faultsCommand injects faults into a stand-in: faults NAME JSON
func faultsCommand(ts *testscript.TestScript, _ bool, args []string) {
	cellOf(ts).callStandin(ts, http.MethodPut, args[0], "/standin/faults", []byte(args[1]))
}

// callStandin sends a request to a stand-in and expects status 204.
func (c *cell) callStandin(ts *testscript.TestScript, method, name, path string, body []byte) {
	request, err := http.NewRequest(method, "http://"+c.addresses[name]+path, bytes.NewReader(body))
	ts.Check(err)
	response, err := http.DefaultClient.Do(request)
	ts.Check(err)
	ts.Check(response.Body.Close())
	if response.StatusCode != http.StatusNoContent {
		ts.Fatalf("%s %s: status %d, want 204", method, path, response.StatusCode)
	}
}

// auditCommand checks, over all workers that respond, that none was overcommitted
// and that no attempt started twice.
func auditCommand(ts *testscript.TestScript, _ bool, _ []string) {
	c := cellOf(ts)
	starts := map[string]int{}
	for _, name := range c.workers {
		response, err := http.Get("http://" + c.addresses[name] + "/standin/audit")
		if err != nil {
			continue
		}
		var audit workerstandin.Audit
		err = json.NewDecoder(response.Body).Decode(&audit)
		response.Body.Close()
		ts.Check(err)
		if audit.Overcommitted {
			ts.Fatalf("worker %s was overcommitted", name)
		}
		for attempt, n := range audit.Starts {
			starts[attempt] += n
		}
	}
	for attempt, n := range starts {
		if n > 1 {
			ts.Fatalf("attempt %s was started %d times", attempt, n)
		}
	}
	ts.Logf("%d attempts, none started twice", len(starts))
}

// eventuallyCommand runs a program until it succeeds: eventually PROGRAM [ARG...]
func eventuallyCommand(ts *testscript.TestScript, _ bool, args []string) {
	retry(ts, func() error { return ts.Exec(args[0], args[1:]...) })
}

// retry calls try until it returns no error, and fails the scenario after
// waitTimeout.
func retry(ts *testscript.TestScript, try func() error) {
	limit := time.Now().Add(waitTimeout)
	for err := try(); err != nil; err = try() {
		if time.Now().After(limit) {
			cellOf(ts).fatalf(ts, "not within %v: %v", waitTimeout, err)
		}
		time.Sleep(retryInterval)
	}
}

// freeAddress reserves a loopback address for a process to listen on.
func freeAddress(ts *testscript.TestScript) string {
	address, err := loopback.Reserve("127.0.0.1")
	ts.Check(err)
	return address
}

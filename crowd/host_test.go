package crowd_test

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/platformstandin"
	"github.com/vanillaquay/vanillaquay/workerstandin"
)

const (
	// memoryMB and maxDescriptors are the limits of the host, and the bounds of every test. Both
	// are below those of any deployment, so that a small set of clients exceeds them.
	memoryMB, maxDescriptors = 96, 600
	// bodyBytes is the limit of a body, which is that of the deployments.
	bodyBytes = 262_144
	// virtualHost and queue are where callers submit jobs.
	virtualHost, queue = "a.example", "plain"

	callerPort, readyPort, peerPort = 18161, 18167, 17720
	// sampleInterval is the interval at which descriptors and unread bytes are counted.
	sampleInterval = 50 * time.Millisecond
	// waitTimeout bounds every wait. It is no requirement: the tests check no timings.
	waitTimeout = 60 * time.Second
)

// program is the path of the system's own program.
var program string

// TestMain builds the program.
func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(directory)
	program = filepath.Join(directory, "vanillaquay")
	if output, err := exec.Command("go", "build", "-o", program, "github.com/vanillaquay/vanillaquay/cmd/vanillaquay").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, output))
	}
	return m.Run()
}

// host is the process of an entry host, which owns its cell, among stand-ins.
type host struct {
	c       *qt.C
	ip      string
	command *exec.Cmd
	output  bytes.Buffer
	// submission returns a request that submits an ordinary job.
	submission func() (*http.Request, error)
	// exited is closed when the process has ended.
	exited chan struct{}

	mu sync.Mutex
	// peakDescriptors and peakUnread are the most open descriptors, and the most bytes that
	// callers had sent and the process had not read, that a sample has found.
	peakDescriptors, peakUnread int
}

// networks counts the hosts of this process; each has an address of its own.
var networks int

// newHost returns a host that has not been started.
func newHost(t *testing.T) *host {
	networks++
	return &host{c: qt.New(t), ip: fmt.Sprintf("127.%d.240.%d", 10+os.Getpid()%200, networks), exited: make(chan struct{})}
}

// startHost starts a host on the users' platform with its stand-ins, and waits until it answers
// callers.
func startHost(t *testing.T) *host { return newPlatform(t).startHost(t) }

// standins are the addresses of the stand-ins of the users' platform.
type standins struct {
	store, advice, machines string
	// hosts is the number of hosts that were started.
	hosts int
}

// newPlatform starts the stand-ins, with one worker.
func newPlatform(t *testing.T) *standins {
	c := qt.New(t)
	rows := platformstandin.NewRows()
	catalogue, err := platformstandin.CatalogueDocument(1, virtualHost, []platformstandin.Queue{{Name: queue, Attempts: 3}})
	c.Assert(err, qt.IsNil)
	rows.Put("op", "config", withBodyLimit(c, catalogue))
	worker := &workerstandin.Runner{ID: "w0", Capacity: 64000, Size: 100, Monitor: &workerstandin.Monitor{}, Length: 50 * time.Millisecond}
	worker.Start()
	row, err := platformstandin.WorkerDocument(serve(c, worker.Handler()), platformstandin.StateReady, worker.Capacity, worker.StartedAt().UnixMilli())
	c.Assert(err, qt.IsNil)
	rows.Put("servers", worker.ID, row)
	return &standins{store: serve(c, rows.Handler()), advice: serve(c, workerstandin.Advisor()), machines: serve(c, platformstandin.NewFleet(time.Second).Handler())}
}

// startHost starts a host and waits until it answers callers. The first one owns the cell.
func (s *standins) startHost(t *testing.T) *host {
	h := newHost(t)
	c := h.c
	h.submission = func() (*http.Request, error) {
		r, err := http.NewRequest(http.MethodPost, "http://"+h.address(callerPort)+jobPath(0), strings.NewReader(job))
		if err == nil {
			r.Host = virtualHost
		}
		return r, err
	}
	settings, err := platformstandin.SettingsDocument(platformstandin.HostSettings{
		Host: fmt.Sprintf("h%d", s.hosts), IP: h.ip, CallerAddress: h.address(callerPort), ReadyAddress: h.address(readyPort), PeerPort: peerPort,
		StoreAddress: s.store, AdviceAddress: s.advice, Machines: s.machines, StatusS: 120,
	})
	c.Assert(err, qt.IsNil)
	s.hosts++
	path := filepath.Join(t.TempDir(), "settings.json")
	c.Assert(os.WriteFile(path, withLimits(c, settings), 0o600), qt.IsNil)
	h.start(t, []string{platform.SettingsVariable + "=" + path}, "front")
	return h
}

// start starts the program and waits until it answers callers.
func (h *host) start(t *testing.T, environment []string, arguments ...string) {
	h.command = exec.Command(program, arguments...)
	h.command.Env = append(os.Environ(), environment...)
	h.command.Stdout, h.command.Stderr = &h.output, &h.output
	h.c.Assert(h.command.Start(), qt.IsNil)
	go func() {
		_ = h.command.Wait()
		close(h.exited)
	}()
	h.c.Cleanup(func() {
		// The process may have ended already.
		_ = h.command.Process.Kill()
		<-h.exited
		if t.Failed() {
			t.Logf("end of the log:\n%s", h.output.Bytes()[max(0, h.output.Len()-4000):])
		}
	})
	h.submit(h.c)
	h.c.Logf("peak memory before the attack %.1f MB", float64(h.peakMemory())/(1<<20))
	go h.sample()
}

func (h *host) address(port int) string { return net.JoinHostPort(h.ip, strconv.Itoa(port)) }

// serve starts the server of a stand-in and returns its address.
func serve(c *qt.C, handler http.Handler) string {
	s := httptest.NewServer(handler)
	c.Cleanup(s.CloseClientConnections)
	return strings.TrimPrefix(s.URL, "http://")
}

func withBodyLimit(c *qt.C, catalogue []byte) []byte {
	return withField(c, catalogue, "limits", map[string]any{"body_bytes": bodyBytes})
}

func withLimits(c *qt.C, settings []byte) []byte {
	return withField(c, settings, "limits", map[string]any{"memory_mb": memoryMB, "max_fds": maxDescriptors})
}

// withField returns a JSON document with another value of a field.
func withField(c *qt.C, document []byte, name string, value any) []byte {
	var fields map[string]any
	c.Assert(json.Unmarshal(document, &fields), qt.IsNil)
	fields[name] = value
	document, err := json.Marshal(fields)
	c.Assert(err, qt.IsNil)
	return document
}

// submit submits an ordinary job on a connection of its own until it is accepted, as a caller
// with retries does.
func (h *host) submit(c *qt.C) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last := ""
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		request, err := h.submission()
		c.Assert(err, qt.IsNil)
		r, err := client.Do(request)
		if err != nil {
			last = err.Error()
			continue
		}
		_, _ = io.Copy(io.Discard, r.Body)
		c.Assert(r.Body.Close(), qt.IsNil)
		if r.StatusCode == http.StatusOK {
			return
		}
		last = r.Status
	}
	c.Fatalf("no ordinary request was accepted within %s: %s", waitTimeout, last)
}

// sample counts descriptors and unread bytes until the process has ended.
func (h *host) sample() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.exited:
			return
		case <-ticker.C:
		}
		descriptors, unread := h.descriptors(), h.unreadBytes()
		h.mu.Lock()
		h.peakDescriptors, h.peakUnread = max(h.peakDescriptors, descriptors), max(h.peakUnread, unread)
		h.mu.Unlock()
	}
}

func (h *host) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.command.Process.Pid))
	if err != nil {
		// The process has ended.
		return 0
	}
	return len(entries)
}

// unreadBytes returns the bytes in the receive buffers of the connections to all ports of the host,
// which the kernel lists by local address as hexadecimal numbers in the order of this machine.
func (h *host) unreadBytes() int {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	ip := net.ParseIP(h.ip).To4()
	local := strings.ToUpper(hex.EncodeToString([]byte{ip[3], ip[2], ip[1], ip[0]})) + ":"
	const listening = "0A"
	total := 0
	for lines := bufio.NewScanner(bytes.NewReader(table)); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] == listening {
			continue
		}
		_, queued, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(queued, 16, 64)
		if err == nil {
			total += int(n)
		}
	}
	return total
}

// peakMemory returns the largest resident set of the process so far, in bytes.
func (h *host) peakMemory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.command.Process.Pid))
	h.c.Assert(err, qt.IsNil)
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	h.c.Assert(found, qt.IsTrue, qt.Commentf("the process has ended"))
	n, err := strconv.Atoi(strings.Fields(rest)[0])
	h.c.Assert(err, qt.IsNil)
	return n << 10
}

// check checks the bounds, and that an ordinary request is answered.
func (h *host) check() {
	h.c.Helper()
	select {
	case <-h.exited:
		h.c.Fatalf("the process has ended: %s", h.command.ProcessState)
	default:
	}
	memory := h.peakMemory()
	h.mu.Lock()
	unread, descriptors := h.peakUnread, h.peakDescriptors
	h.mu.Unlock()
	h.c.Logf("peak memory %.1f MB, unread %.1f MB, descriptors %d", float64(memory)/(1<<20), float64(unread)/(1<<20), descriptors)
	h.c.Check(memory+unread <= memoryMB<<20, qt.IsTrue, qt.Commentf("%.1f MB in memory and receive buffers, of %d MB", float64(memory+unread)/(1<<20), memoryMB))
	h.c.Check(descriptors <= maxDescriptors, qt.IsTrue, qt.Commentf("%d descriptors, of %d", descriptors, maxDescriptors))
	h.submit(h.c)
	h.c.Check(h.peakMemory() <= memoryMB<<20, qt.IsTrue, qt.Commentf("after the ordinary request"))
}

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/vanillaquay/vanillaquay/front"
	"github.com/vanillaquay/vanillaquay/platformstandin"
	"github.com/vanillaquay/vanillaquay/proxytest"
	"github.com/vanillaquay/vanillaquay/workerstandin"
)

const (
	callerPort, readyPort = 18161, 18167
	peerPort, workerPort  = 17720, 17000
	// Programs listen at 127.N.V.X with V = realView. Those with V = firstView + I are proxies
	// for the calls of host I. X is firstWorker + J for worker J, firstHost + J for host J.
	realView, firstView    = 100, 101
	firstWorker, firstHost = 1, 201
	heartbeat              = 1500 * time.Millisecond
)

// cell is a small deployment: the hosts are processes, all else is a stand-in here.
type cell struct {
	network   int
	directory string
	record    *record
	rows      *platformstandin.Rows
	workers   []*worker
	machines  *machines
	hosts     []*host
	// The links of each host to the store, to each worker and to each host.
	storeLinks  []*proxytest.Proxy
	workerLinks [][]*proxytest.Proxy
	hostLinks   [][]*proxytest.Proxy
	servers     []*http.Server
	// onTransaction, unless nil, is called when a transaction of a host has taken effect,
	// before its answer is sent.
	onTransaction func(host int)
	advice        string

	mu         sync.Mutex
	largestRow map[string]int
	// cut holds the workers that do not reach the store.
	cut    map[int]bool
	closed bool
}

type host struct {
	name, ip, settings, log string
	command                 *exec.Cmd
	done                    chan struct{}
	ending                  bool
}

func (c *cell) prefix(view int) string { return fmt.Sprintf("127.%d.%d.", c.network, view) }

func (c *cell) address(view, number, port int) string {
	return fmt.Sprintf("%s%d:%d", c.prefix(view), number, port)
}

// openCell starts the stand-ins, and with them the hosts.
func openCell(directory string, r *record, hosts, workers int, capacity int64, kinds []string) (*cell, error) {
	c := &cell{network: freeNetwork(), directory: directory, record: r, rows: platformstandin.NewRows(), largestRow: map[string]int{}, cut: map[int]bool{}}
	var err error
	if c.advice, err = c.serve("127.0.0.1:0", workerstandin.Advisor()); err != nil {
		return c, err
	}
	c.machines = newMachines(c)
	machines, err := c.serve("127.0.0.1:0", c.machines.handler())
	if err != nil {
		return c, err
	}
	members := &gangs{}
	for i := range workers {
		w := &worker{gangs: members, id: fmt.Sprintf("i-%08x", 0x7f3a0000+i), machine: fmt.Sprintf("m-%05x", 0xa000+i), capacity: capacity, record: r, address: c.address(realView, firstWorker+i, workerPort)}
		w.boot(kinds[i%len(kinds)])
		if _, err := c.serve(w.address, w.handler()); err != nil {
			return c, err
		}
		c.workers = append(c.workers, w)
	}
	go c.beat()
	for i := range hosts {
		if err := c.openHost(i, workers, hosts, machines); err != nil {
			return c, err
		}
	}
	return c, nil
}

func (c *cell) openHost(i, workers, hosts int, machines string) error {
	address, err := c.serve("127.0.0.1:0", c.store(i))
	if err != nil {
		return err
	}
	link, err := proxytest.Listen("127.0.0.1:0", address)
	if err != nil {
		return err
	}
	c.storeLinks = append(c.storeLinks, link)
	open := func(first, n, port int) ([]*proxytest.Proxy, error) {
		var links []*proxytest.Proxy
		for j := range n {
			p, err := proxytest.Listen(c.address(firstView+i, first+j, port), c.address(realView, first+j, port))
			if err != nil {
				return links, err
			}
			links = append(links, p)
		}
		return links, nil
	}
	toWorkers, err := open(firstWorker, workers, workerPort)
	c.workerLinks = append(c.workerLinks, toWorkers)
	if err != nil {
		return err
	}
	toHosts, err := open(firstHost, hosts, peerPort)
	c.hostLinks = append(c.hostLinks, toHosts)
	if err != nil {
		return err
	}
	h := &host{name: fmt.Sprintf("front-%d", i), ip: fmt.Sprintf("%s%d", c.prefix(realView), firstHost+i)}
	h.settings, h.log = filepath.Join(c.directory, h.name+".json"), filepath.Join(c.directory, h.name+".log")
	settings := map[string]any{
		"node": h.name, "role": "front", "class": "front", "serves": []string{"front"}, "zone": "z", "region": "r", "ip": h.ip, "port_range": []int{peerPort, peerPort + 15},
		"listen":       map[string]string{"front": c.address(realView, firstHost+i, callerPort), "ready": c.address(realView, firstHost+i, readyPort)},
		"limits":       map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100},
		"heartbeat_ms": heartbeat.Milliseconds(), "orders": "call", "advice": c.advice,
		"platform": map[string]any{"addr": link.Address(), "form": "table", "writes_per_s": 800, "reads_per_s": 2000, "tx_ms": 5, "part_writes_s": 200, "row_bytes": rowBytes, "across": false, "history_s": 20},
		"bounds": map[string]any{
			"stable_window_ms": 4000, "ack_ms": 5000, "drain_ms": 2500, "grace_s": 6, "config_ms": 2500, "max_hold_ms": maxHold.Milliseconds(), "stop_ms": 900, "gang_timeout_ms": 3000,
			"cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "checkpoint_interval_s": 1, "restore_ms": 250, "notice_ms": 5500,
			"move_s": 1.5, "maintenance_s": 2, "fencing": false, "lease_ms": 3000, "pace_ms": 100, "harm_ms": 4000,
		},
		"cloud_api": map[string]any{"addr": machines, "rate_per_s": 60, "duty_per_s": 60},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	c.hosts = append(c.hosts, h)
	return os.WriteFile(h.settings, data, 0o600)
}

func (c *cell) serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	c.servers = append(c.servers, s)
	go func() {
		// Serve returns an error when the server is closed.
		_ = s.Serve(l)
	}()
	return l.Addr().String(), nil
}

// beat keeps the rows of the workers in the store up to date.
func (c *cell) beat() {
	for {
		c.mu.Lock()
		closed := c.closed
		c.mu.Unlock()
		if closed {
			return
		}
		for i := range c.workers {
			c.announce(i)
			time.Sleep(heartbeat / time.Duration(len(c.workers)))
		}
		if len(c.workers) == 0 {
			time.Sleep(heartbeat / 10)
		}
	}
}

// announce writes the row of a worker, if it is up and reaches the store.
func (c *cell) announce(i int) {
	w := c.workers[i]
	c.mu.Lock()
	cut := c.cut[i]
	c.mu.Unlock()
	w.mu.Lock()
	up, id := w.up, w.id
	w.mu.Unlock()
	if up && !cut {
		c.rows.Put("servers", id, w.row(w.address))
	}
}

func (c *cell) setCut(i int, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[i] = cut
}

// program is the command of the deploy file.
const program = "target/vanillaquay"

func (c *cell) start(i int) error {
	h := c.hosts[i]
	output, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	k := exec.Command(program, "front")
	k.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "VANILLAQUAY_SETTINGS=" + h.settings}
	k.Stdout, k.Stderr = output, output
	k.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := k.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	h.command, h.done = k, done
	go func() {
		err := k.Wait()
		c.mu.Lock()
		ending := h.ending || c.closed
		c.mu.Unlock()
		if !ending {
			c.record.line("%s ended by itself: %v", h.name, err)
		}
		close(done)
	}()
	return nil
}

func (c *cell) signal(i int, s syscall.Signal) {
	c.record.line("signal %v to %s", s, c.hosts[i].name)
	if err := c.hosts[i].command.Process.Signal(s); err != nil {
		c.record.line("signal not sent: %v", err)
	}
}

// owner returns the host that says that it owns the cell, or -1.
func (c *cell) owner() int {
	client := http.Client{Timeout: 500 * time.Millisecond}
	for i := range c.hosts {
		r, err := client.Get("http://" + c.address(realView, firstHost+i, front.MetricsPort) + "/dump")
		if err != nil {
			continue
		}
		var dump struct{ Owns bool }
		err = json.NewDecoder(r.Body).Decode(&dump)
		r.Body.Close()
		if err == nil && dump.Owns {
			return i
		}
	}
	return -1
}

// awaitOwner waits for an owner that has recovered and heard the workers.
func (c *cell) awaitOwner(limit time.Duration) int {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if i := c.owner(); i >= 0 {
			return i
		}
	}
	return -1
}

// call makes a call of a client to a host. The status is 0 without an answer.
func (c *cell) call(host int, method, path string, content []byte) (int, string) {
	client := http.Client{Timeout: 3200 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(method, "http://"+c.address(realView, firstHost+host, callerPort)+path, bytes.NewReader(content))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = "nony24.example"
	r.Header.Set("Timeout-Ms", "3000")
	if content != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	a, err := client.Do(r)
	if err != nil {
		return 0, "no answer"
	}
	defer a.Body.Close()
	data, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, "no whole answer"
	}
	return a.StatusCode, strings.TrimSpace(string(data))
}

// submit hands a job in as a client does: it asks again at the next host.
func (c *cell) submit(queue, id string, content []byte) bool {
	for try := range 5 {
		status, answer := c.call(try%len(c.hosts), http.MethodPost, "/"+queue+"/"+id, content)
		c.record.line("client POST %s/%s at %s: %d %s", queue, id, c.hosts[try%len(c.hosts)].name, status, answer)
		if status/100 == 2 {
			return true
		}
		if status == 400 || status == 404 {
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// state asks for the state of a job, at one host after the other.
func (c *cell) state(queue, id string) (int, string) {
	status, answer := 0, ""
	for i := range c.hosts {
		status, answer = c.call(i, http.MethodGet, "/"+queue+"/"+id, nil)
		c.record.line("client GET %s/%s at %s: %d %s", queue, id, c.hosts[i].name, status, answer)
		if status == 200 {
			return status, answer
		}
	}
	return status, answer
}

// close ends all that the case has started.
func (c *cell) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	for _, h := range c.hosts {
		if h.command != nil {
			_ = h.command.Process.Signal(syscall.SIGKILL)
			<-h.done
		}
	}
	for _, s := range c.servers {
		// The stand-ins have nothing to save.
		_ = s.Close()
	}
}

// freeNetwork returns the second byte of loopback addresses that no other run uses.
func freeNetwork() int {
	for i := range 200 {
		n := 10 + (os.Getpid()+i)%200
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:%d", n, realView, firstWorker, workerPort))
		if err == nil {
			l.Close()
			return n
		}
	}
	return 10
}

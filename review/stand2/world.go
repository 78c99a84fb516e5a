package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/vanillaquay/vanillaquay/platformstandin"
)

const (
	prefix      = "/vanillaquay"
	virtualHost = "q.example"
	peerPort    = 17720
	metricsPort = 9464
	readyPort   = 18167
	callerPort  = 18161
	workerPort  = 17000
)

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// host is an entry host: the product's program as a process of its own.
type host struct {
	name, ip string
	command  *exec.Cmd
	done     chan struct{}
}

// world is a small deployment on loopback addresses.
type world struct {
	directory, program string
	network            int
	reservation        net.Listener
	log                *record
	store              *platformstandin.Rows
	// storeLinks holds the connections of each host to the store.
	storeLinks []*link
	storeAddr  string
	advice     string
	cloud      *cloud
	cloudAddr  string
	hosts      []*host
	workers    []*worker
	judge      *judge
	version    int
	// statusSeconds is a bound in the settings of the hosts.
	statusSeconds int
	beats         chan struct{}
}

func (w *world) address(view, number, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.network, view, number, port)
}

// options describes a deployment.
type options struct {
	hosts, workers int
	// cpu is the capacity of a worker, in thousandths of a processor.
	cpu int64
	// special is the number of workers of another kind, the first ones.
	special int
	queues  []platformstandin.Queue
}

// bounds of the deployment, as on the sheet of tdg-quay-grown.
const (
	stopTime    = 900 * time.Millisecond
	maxHold     = 6 * time.Second
	maintenance = 2 * time.Second
)

func openWorld(o options, log *record, program, directory string) (*world, error) {
	w := &world{directory: directory, program: program, log: log, store: platformstandin.NewRows(), beats: make(chan struct{}), statusSeconds: 120}
	var err error
	for n := range 200 {
		w.network = 20 + (os.Getpid()+n)%200
		if w.reservation, err = net.Listen("tcp", w.address(100, 254, callerPort)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	w.judge = newJudge(log)
	closeOnSignal(w)
	if w.storeAddr, err = serve("127.0.0.1:0", w.store.Handler()); err != nil {
		return nil, err
	}
	if w.advice, err = serve("127.0.0.1:0", http.HandlerFunc(advise)); err != nil {
		return nil, err
	}
	w.cloud = &cloud{world: w, machines: map[string]*machine{}, waves: map[int64]waveOrder{}}
	if w.cloudAddr, err = serve("127.0.0.1:0", w.cloud); err != nil {
		return nil, err
	}
	for i := range o.workers {
		k := &worker{
			id: fmt.Sprintf("w%d", i), address: w.address(100, 1+i, workerPort), kind: "a", capacity: o.cpu, stopTime: stopTime, maxLease: maxHold, log: log,
			onStart: w.judge.started, onEnd: w.judge.ended, onNoted: w.judge.noted,
		}
		if i < o.special {
			k.kind = "b"
		}
		k.boot()
		if _, err := serve(k.address, k); err != nil {
			return nil, err
		}
		w.workers = append(w.workers, k)
		w.cloud.machines[fmt.Sprintf("m%d", i)] = &machine{worker: k, done: map[int64]bool{}}
	}
	for _, k := range w.workers {
		w.announce(k)
	}
	go w.beat()
	if err := w.setQueues(o.queues); err != nil {
		return nil, err
	}
	for i := range o.hosts {
		link, err := openLink(w.storeAddr)
		if err != nil {
			return nil, err
		}
		w.storeLinks = append(w.storeLinks, link)
		h := &host{name: fmt.Sprintf("h%d", i), ip: strings.TrimSuffix(w.address(100, 101+i, 0), ":0")}
		if err := w.writeSettings(i, h); err != nil {
			return nil, err
		}
		w.hosts = append(w.hosts, h)
	}
	return w, nil
}

func (w *world) writeSettings(i int, h *host) error {
	document, err := platformstandin.SettingsDocument(platformstandin.HostSettings{
		Host: h.name, IP: h.ip, CallerAddress: w.address(100, 101+i, callerPort), ReadyAddress: w.address(100, 101+i, readyPort),
		PeerPort: peerPort, StoreAddress: w.storeLinks[i].Address(), AdviceAddress: w.advice, Machines: w.cloudAddr, StatusS: 120,
	})
	if err != nil {
		return err
	}
	var settings map[string]any
	if err := json.Unmarshal(document, &settings); err != nil {
		return err
	}
	bounds := settings["bounds"].(map[string]any)
	bounds["max_hold_ms"], bounds["stop_ms"] = maxHold.Milliseconds(), stopTime.Milliseconds()
	bounds["status_s"] = w.statusSeconds
	if document, err = json.Marshal(settings); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(w.directory, h.name+".json"), document, 0o600)
}

// heartbeat is the interval at which workers write their entries. The platform removes an entry
// after three intervals of silence.
const heartbeat = 1500 * time.Millisecond

// beat writes the entries of the workers, as they do themselves, and removes those of workers
// that are silent.
func (w *world) beat() {
	silent := map[*worker]int{}
	for {
		for _, k := range w.workers {
			if w.announce(k) {
				silent[k] = 0
			} else if silent[k]++; silent[k] == 4 {
				w.store.Remove("servers", k.id)
				w.log.add("platform: entry of %s removed", k.id)
			}
			select {
			case <-w.beats:
				return
			case <-time.After(heartbeat / time.Duration(len(w.workers))):
			}
		}
		w.cloud.checkDone()
	}
}

// announce writes the entry of a worker, and reports whether it is up.
func (w *world) announce(k *worker) bool {
	k.mu.Lock()
	down, born := k.down, k.born
	k.mu.Unlock()
	if down {
		return false
	}
	row, err := platformstandin.WorkerDocument(k.address, platformstandin.StateReady, k.capacity, born.UnixMilli())
	if err != nil {
		return false
	}
	var entry map[string]any
	if err := json.Unmarshal(row, &entry); err != nil {
		return false
	}
	entry["labels"] = []string{k.kind, "r1"}
	if row, err = json.Marshal(entry); err != nil {
		return false
	}
	w.store.Put("servers", k.id, row)
	return true
}

// setQueues writes the next version of the manifest.
func (w *world) setQueues(queues []platformstandin.Queue) error {
	w.version++
	document, err := platformstandin.CatalogueDocument(w.version, virtualHost, queues)
	if err != nil {
		return err
	}
	var names []string
	for _, q := range queues {
		names = append(names, fmt.Sprintf("%s (attempts %d)", q.Name, q.Attempts))
	}
	w.store.Put("op", "config", document)
	w.log.add("operator: manifest %d acknowledged, routes: %s", w.version, strings.Join(names, ", "))
	return nil
}

func (w *world) start(i int) error {
	h := w.hosts[i]
	output, err := os.OpenFile(filepath.Join(w.directory, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	h.command = exec.Command(w.program, "front")
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "VANILLAQUAY_SETTINGS=" + filepath.Join(w.directory, h.name+".json")}
	h.command.Stdout, h.command.Stderr = output, output
	if err := h.command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	h.done = done
	go func(c *exec.Cmd) {
		_ = c.Wait()
		close(done)
	}(h.command)
	w.log.add("host %s started", h.name)
	return nil
}

// startAll starts all hosts and waits until they are ready.
func (w *world) startAll() error {
	for i := range w.hosts {
		if err := w.start(i); err != nil {
			return err
		}
	}
	if !w.waitReady() {
		return errNotReady
	}
	return nil
}

func (w *world) signal(i int, s syscall.Signal) {
	w.log.add("host %s: %s", w.hosts[i].name, s)
	_ = w.hosts[i].command.Process.Signal(s)
}

// owner returns the host that says that it owns the cell, or -1.
func (w *world) owner() int {
	client := http.Client{Timeout: 500 * time.Millisecond}
	for i := range w.hosts {
		r, err := client.Get("http://" + w.address(100, 101+i, metricsPort) + "/dump")
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

// waitReady waits until all hosts are ready, and reports whether they are.
func (w *world) waitReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	for range 150 {
		ready := 0
		for i := range w.hosts {
			if r, err := client.Get("http://" + w.address(100, 101+i, readyPort) + prefix + "/ready"); err == nil {
				r.Body.Close()
				if r.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.hosts) && w.owner() >= 0 {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// close ends all processes that were started.
func (w *world) close() {
	for _, h := range w.hosts {
		if h.command == nil || h.command.Process == nil {
			continue
		}
		_ = h.command.Process.Signal(syscall.SIGCONT)
		_ = h.command.Process.Kill()
		<-h.done
	}
	close(w.beats)
}

// closeOnSignal ends the processes of a deployment, and this one, on a signal.
func closeOnSignal(w *world) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		w.close()
		_ = os.RemoveAll(w.directory)
		os.Exit(2)
	}()
}

// call makes a call of a requester and returns the status; 0 is no answer.
func (w *world) call(host int, method, path string, body []byte) (int, map[string]any) {
	request, err := http.NewRequest(method, "http://"+w.address(100, 101+host, callerPort)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = virtualHost
	request.Header.Set("Timeout-Ms", "3000")
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Do(request)
	if err != nil {
		w.log.add("%s %s at %s: no answer", method, path, w.hosts[host].name)
		return 0, nil
	}
	defer r.Body.Close()
	var answer map[string]any
	_ = json.NewDecoder(r.Body).Decode(&answer)
	w.log.add("%s %s at %s: %d %v", method, path, w.hosts[host].name, r.StatusCode, answer)
	return r.StatusCode, answer
}

// wave asks for the upkeep of machines.
func (w *world) wave(number int64, machines []string, atOnce, within int) {
	document, _ := json.Marshal(map[string]any{"wave": number, "machines": machines, "within_s": within, "max_count": atOnce})
	w.cloud.mu.Lock()
	w.cloud.waves[number] = waveOrder{machines, atOnce}
	w.cloud.mu.Unlock()
	w.store.Put("op", fmt.Sprintf("wave/%d", number), document)
	w.log.add("operator: wave %d of %v, %d at once, within %d s", number, machines, atOnce, within)
}

// jobDocument returns the body that hands a job in.
func jobDocument(j *mixJob) []byte {
	spec, _ := json.Marshal(j.spec)
	document, _ := platformstandin.JobDocument(string(spec), j.steps)
	var job map[string]any
	_ = json.Unmarshal(document, &job)
	if j.lasts {
		lasting(job)
	}
	if j.budget > 0 {
		job["steps"].([]any)[0].(map[string]any)["may"+"_miss"] = j.budget
	}
	if j.repeats > 0 {
		job["first_ms"], job["interval_ms"], job["repeats"] = j.first, j.interval, j.repeats
	}
	document, _ = json.Marshal(job)
	return document
}

// submit hands a job in until it is accepted, and reports whether it was.
func (w *world) submit(path string, b behaviour, steps []platformstandin.Step, change func(job map[string]any)) bool {
	spec, _ := json.Marshal(b)
	document, err := platformstandin.JobDocument(string(spec), steps)
	if err != nil {
		return false
	}
	var job map[string]any
	if err := json.Unmarshal(document, &job); err != nil {
		return false
	}
	if change != nil {
		change(job)
	}
	if document, err = json.Marshal(job); err != nil {
		return false
	}
	w.log.add("job %s: %s", path, document)
	for n := range 10 {
		if status, _ := w.call(n%len(w.hosts), http.MethodPost, path, document); status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

func (w *world) state(host int, path string) string {
	status, answer := w.call(host, http.MethodGet, path, nil)
	if status != http.StatusOK {
		return strconv.Itoa(status)
	}
	text, _ := answer["state"].(string)
	return text
}

func serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}).Serve(l) }()
	return l.Addr().String(), nil
}

// advise approves every worker.
func advise(rw http.ResponseWriter, q *http.Request) {
	var question struct {
		Workers []string `json:"workers"`
	}
	_ = json.NewDecoder(q.Body).Decode(&question)
	good := [][]string{}
	for _, id := range question.Workers {
		good = append(good, []string{id, "t-" + id})
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"good": good})
}

// indexOf returns the last part of a task's name.
func indexOf(task string) int {
	n, _ := strconv.Atoi(task[strings.LastIndexByte(task, '.')+1:])
	return n
}

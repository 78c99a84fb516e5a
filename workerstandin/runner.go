package workerstandin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// MaxLease bounds the lease that a Runner accepts. The settings of the hosts used with it
// declare the same bound.
const MaxLease = 6 * time.Second

// Runner is a stand-in for a worker that implements the users' published protocol. It
// runs tasks as timers; their size comes from the specification.
type Runner struct {
	// ID names the worker, and Capacity is its capacity in thousandths of a processor.
	ID       string
	Capacity int64
	Monitor  *Monitor
	// Length is the default run time of a task, and Size its default usage, in
	// thousandths of a processor.
	Length time.Duration
	Size   int64

	mu        sync.Mutex
	startedAt time.Time
	fence     int64
	leaseEnd  time.Time
	runs      map[string]*runnerRun
	ended     []runnerEnd
	number    int64
	changed   chan struct{}
	silent    bool
	// life counts the starts of the worker. connections holds the life in which each client first
	// called, by its address: a connection ends with the life.
	life        int
	connections map[string]int
	// refused holds the highest run number of each task that must not start here.
	refused map[string]int
}

type runnerRun struct {
	run     int
	started time.Time
	timer   *time.Timer
	// size is the usage of the run, in thousandths of a processor.
	size   int64
	length time.Duration
}

type runnerEnd struct {
	number int64
	task   string
	run    int
	how    string
}

// Start initialises the worker, with no runs and no lease.
func (r *Runner) Start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startedAt, r.leaseEnd = time.Now(), time.Now()
	r.life++
	r.runs, r.refused, r.changed = map[string]*runnerRun{}, map[string]int{}, make(chan struct{})
}

// Restart ends all runs without reporting them and starts the worker again without
// its former state.
func (r *Runner) Restart() {
	r.mu.Lock()
	for task, run := range r.runs {
		run.timer.Stop()
		r.Monitor.end(task, false)
		r.record(RunEvent{Kind: RunGone, Task: task, Run: run.run})
	}
	r.record(RunEvent{Kind: LifeEnded})
	r.ended, r.number, r.fence = nil, 0, 0
	r.mu.Unlock()
	r.Start()
}

// StartedAt returns when the worker was last started or restarted.
func (r *Runner) StartedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startedAt
}

// SetSilent sets whether the worker leaves all calls unanswered.
func (r *Runner) SetSilent(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = on
}

// Handler returns the interface of the worker.
func (r *Runner) Handler() http.Handler {
	m := chi.NewRouter()
	m.Use(func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			r.mu.Lock()
			silent, current := r.silent, r.isOfThisLife(q.RemoteAddr)
			r.mu.Unlock()
			if silent {
				<-q.Context().Done()
				return
			}
			if !current {
				panic(http.ErrAbortHandler)
			}
			next.ServeHTTP(w, q)
		})
	})
	m.Post("/vanillaquay/run-start", r.start)
	m.Post("/vanillaquay/run-stop", r.stop)
	m.Post("/vanillaquay/hold", r.hold)
	return m
}

// isOfThisLife reports whether a connection was opened in this life of the worker. The caller
// holds r.mu.
func (r *Runner) isOfThisLife(remote string) bool {
	if r.connections == nil {
		r.connections = map[string]int{}
	}
	life, known := r.connections[remote]
	if known && life != r.life {
		// The client's port may be used again.
		delete(r.connections, remote)
		return false
	}
	r.connections[remote] = r.life
	return true
}

type runnerRequest struct {
	Task    string `json:"task"`
	Run     int    `json:"run"`
	Spec    string `json:"spec"`
	Fence   int64  `json:"fence"`
	UntilMS int64  `json:"until_ms"`
	Seen    int64  `json:"last_seen"`
	WaitMS  int64  `json:"wait_ms"`
}

// readRequest decodes a request and extends the lease. It answers a request that is
// invalid, addressed to another worker or from an earlier owner, and returns false.
func (r *Runner) readRequest(w http.ResponseWriter, q *http.Request) (runnerRequest, bool) {
	var o runnerRequest
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	if id := q.Header.Get("Expect-Instance"); id != "" && id != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if o.Fence < r.fence {
		r.respond(w, http.StatusConflict, "fence")
		return o, false
	}
	r.fence = o.Fence
	r.extendLease(o.UntilMS)
	return o, true
}

// extendLease extends the lease of all runs, which end when it lapses. untilMS counts from
// the start of the worker.
func (r *Runner) extendLease(untilMS int64) {
	until := r.startedAt.Add(time.Duration(untilMS) * time.Millisecond)
	if most := time.Now().Add(MaxLease); until.After(most) {
		until = most
	}
	if untilMS == 0 || !until.After(r.leaseEnd) {
		return
	}
	r.leaseEnd = until
	time.AfterFunc(time.Until(until), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if time.Now().Before(r.leaseEnd) {
			return
		}
		r.record(RunEvent{Kind: LeaseLapsed})
		for task := range r.runs {
			r.end(task, HowLapsed)
		}
	})
}

func (r *Runner) start(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.readRequest(w, q)
	if !ok {
		return
	}
	switch run := r.runs[o.Task]; {
	case run != nil && run.run == o.Run:
		r.respond(w, http.StatusOK, "")
		return
	case run != nil || o.Run <= r.refused[o.Task]:
		r.respond(w, http.StatusConflict, "old")
		return
	}
	if time.Now().After(r.startedAt.Add(time.Duration(o.UntilMS) * time.Millisecond)) {
		r.respond(w, http.StatusConflict, "late")
		return
	}
	r.begin(o)
	r.respond(w, http.StatusOK, "")
}

// begin starts a run according to its specification.
func (r *Runner) begin(o runnerRequest) {
	size, length, how := r.actualRun(o)
	over := r.used()+size > r.Capacity
	if over {
		r.Monitor.recordFault(r.ID + " is over its capacity")
	}
	r.Monitor.begin(o.Task)
	r.record(RunEvent{Kind: RunBegan, Task: o.Task, Run: o.Run, Spec: o.Spec, Over: over})
	run := &runnerRun{run: o.Run, started: time.Now(), size: size, length: length}
	run.timer = time.AfterFunc(length, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.runs[o.Task] == run {
			r.end(o.Task, how)
		}
	})
	r.runs[o.Task] = run
}

// actualRun returns the usage, the run time and the way of ending of a run.
func (r *Runner) actualRun(o runnerRequest) (int64, time.Duration, string) {
	b := behaviourOf([]byte(o.Spec))
	size, length, how := r.Size, r.Length, HowDone
	if b.Used != nil {
		size = b.Used.Processors
	}
	if d, err := time.ParseDuration(b.RunTime); err == nil {
		length = d
	}
	if o.Run <= b.FailingRuns {
		how = HowFailed
	}
	return size, length, how
}

// used returns the usage of all runs, in thousandths of a processor.
func (r *Runner) used() int64 {
	var sum int64
	for _, run := range r.runs {
		sum += run.size
	}
	return sum
}

// record reports an event to the monitor.
func (r *Runner) record(e RunEvent) {
	e.Worker, e.At = r.ID, time.Now()
	r.Monitor.record(e)
}

func (r *Runner) stop(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.readRequest(w, q)
	if !ok {
		return
	}
	r.refused[o.Task] = max(r.refused[o.Task], o.Run)
	if run := r.runs[o.Task]; run != nil && run.run == o.Run {
		run.timer.Stop()
		r.end(o.Task, HowStopped)
	}
	r.respond(w, http.StatusOK, "")
}

// end ends a run and adds it to the ends to be reported.
func (r *Runner) end(task, how string) {
	run := r.runs[task]
	delete(r.runs, task)
	r.number++
	r.ended = append(r.ended, runnerEnd{number: r.number, task: task, run: run.run, how: how})
	r.refused[task] = max(r.refused[task], run.run)
	r.Monitor.end(task, how == HowDone)
	r.record(RunEvent{Kind: RunEnded, Task: task, Run: run.run, How: how})
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Runner) hold(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.readRequest(w, q)
	if !ok {
		return
	}
	r.ended = slices.DeleteFunc(r.ended, func(e runnerEnd) bool {
		if e.number > o.Seen {
			return false
		}
		r.record(RunEvent{Kind: EndNoted, Task: e.task, Run: e.run, How: e.how})
		return true
	})
	if len(r.ended) == 0 && o.WaitMS > 0 {
		changed, life := r.changed, r.life
		r.mu.Unlock()
		select {
		case <-changed:
		case <-q.Context().Done():
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		}
		r.mu.Lock()
		if r.life != life {
			panic(http.ErrAbortHandler)
		}
	}
	running, ended := [][]any{}, [][]any{}
	for task, run := range r.runs {
		running = append(running, []any{task, run.run, "", int(100 * time.Since(run.started) / max(run.length, 1)), 0})
	}
	for _, e := range r.ended {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	w.Header().Set("Content-Type", "application/json")
	// An error here means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(map[string]any{"clock_ms": time.Since(r.startedAt).Milliseconds(), "born": r.startedAt.UnixMilli(), "running": running, "ended": ended})
}

func (r *Runner) respond(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	body := map[string]any{"clock_ms": time.Since(r.startedAt).Milliseconds()}
	if reason != "" {
		body["reason"] = reason
	}
	// An error here means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

// Advisor returns a stand-in for the users' advice service that approves every worker.
func Advisor() http.Handler {
	m := chi.NewRouter()
	m.Post("/vanillaquay/advise", func(w http.ResponseWriter, q *http.Request) {
		var question struct {
			Workers []string `json:"workers"`
		}
		if err := json.NewDecoder(q.Body).Decode(&question); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		good := [][]string{}
		for _, id := range question.Workers {
			good = append(good, []string{id, "T-" + strings.ToLower(id)})
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"good": good, "valid_ms": 2000})
	})
	return m
}

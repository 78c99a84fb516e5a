package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"
)

// behaviour says how the tasks of a job behave. It is the job's specification, so that the
// worker that runs a task reads it there.
type behaviour struct {
	// CPU is the demand of a task, in thousandths of a processor.
	CPU int64 `json:"c"`
	// RunMS is how long a task works, and StepMS how much longer the next task of the same
	// step does.
	RunMS  int64 `json:"ms"`
	StepMS int64 `json:"step,omitempty"`
	// Failing is the number of first runs of a task that fail when their work is over.
	Failing int `json:"fail,omitempty"`
	// Lasts marks a task that works until it is stopped. Its first Failing runs fail after RunMS.
	Lasts bool `json:"lasts,omitempty"`
}

// startupTime is how long a lasting task takes until it is at work.
const startupTime = 300 * time.Millisecond

// worker is a worker as the users' protocol describes it.
type worker struct {
	id       string
	address  string
	kind     string
	capacity int64
	stopTime time.Duration
	maxLease time.Duration
	log      *record
	onStart  func(w *worker, task string, run int)
	onEnd    func(w *worker, e ending)
	onNoted  func(w *worker, e ending)

	mu       sync.Mutex
	born     time.Time
	fence    int64
	leaseEnd time.Time
	runs     map[string]*activeRun
	refused  map[string]int
	ended    []ending
	number   int64
	changed  chan struct{}
	down     bool
	hangs    bool
}

type activeRun struct {
	run      int
	began    time.Time
	spec     behaviour
	length   time.Duration
	timer    *time.Timer
	stopping bool
}

type ending struct {
	number int64
	task   string
	run    int
	how    string
	at     time.Time
}

// fallSilent leaves a call without an answer. The caller holds w.mu.
func (w *worker) fallSilent(q *http.Request) {
	if w.hangs {
		w.mu.Unlock()
		<-q.Context().Done()
		w.mu.Lock()
	}
	panic(http.ErrAbortHandler)
}

// boot starts a life of the worker. The caller holds w.mu.
func (w *worker) boot() {
	if w.runs != nil {
		w.lose(false)
	}
	w.born, w.leaseEnd = time.Now(), time.Now()
	w.fence, w.number, w.ended = 0, 0, nil
	w.runs, w.refused, w.changed = map[string]*activeRun{}, map[string]int{}, make(chan struct{})
	w.down = false
}

// crash ends the life of the worker. Until boot it answers nothing: channels hang, as to a machine
// without power, or break, as to one on which a process has ended.
func (w *worker) crash(hang bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lose(hang)
}

// lose ends all runs without listing their ends. The caller holds w.mu.
func (w *worker) lose(hang bool) {
	for task, r := range w.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		w.onEnd(w, ending{task: task, run: r.run, how: "gone", at: time.Now()})
	}
	w.runs = map[string]*activeRun{}
	w.down, w.hangs = true, hang
	close(w.changed)
	w.changed = make(chan struct{})
	w.log.add("worker %s is down", w.id)
}

type order struct {
	Task    string `json:"task"`
	Run     int    `json:"run"`
	Spec    string `json:"spec"`
	Fence   int64  `json:"fence"`
	Until   int64  `json:"Until_ms"`
	Seen    int64  `json:"Last_seen"`
	Wait    int64  `json:"wait_ms"`
	Percent int    `json:"percent"`
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

func (w *worker) ServeHTTP(rw http.ResponseWriter, q *http.Request) {
	var o order
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		w.fallSilent(q)
	}
	if id := q.Header.Get("Expect-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if o.Fence < w.fence {
		w.answer(rw, http.StatusConflict, "fence")
		return
	}
	w.fence = o.Fence
	w.extend(o.Until)
	switch q.URL.Path {
	case prefix + "/run-start":
		w.start(rw, o)
	case prefix + "/run-stop":
		w.refused[o.Task] = max(w.refused[o.Task], o.Run)
		if r := w.runs[o.Task]; r != nil && r.run == o.Run && !r.stopping {
			r.stopping = true
			if r.timer != nil {
				r.timer.Stop()
			}
			w.log.add("worker %s stops %s run %d", w.id, o.Task, o.Run)
			time.AfterFunc(w.stopTime, func() { w.finish(o.Task, r, "stopped") })
		}
		w.answer(rw, http.StatusOK, "")
	case prefix + "/pace":
		w.answer(rw, http.StatusOK, "")
	case prefix + "/hold":
		w.hold(rw, q, o)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) extend(until int64) {
	end := w.born.Add(time.Duration(until) * time.Millisecond)
	if most := time.Now().Add(w.maxLease); end.After(most) {
		end = most
	}
	if until == 0 || !end.After(w.leaseEnd) {
		return
	}
	w.leaseEnd = end
	time.AfterFunc(time.Until(end), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if time.Now().Before(w.leaseEnd) {
			return
		}
		for task, r := range w.runs {
			w.end(task, r, "lapsed")
		}
	})
}

func (w *worker) start(rw http.ResponseWriter, o order) {
	r := w.runs[o.Task]
	switch {
	case r != nil && r.run == o.Run:
		w.answer(rw, http.StatusOK, "")
		return
	case r != nil || o.Run <= w.refused[o.Task]:
		w.answer(rw, http.StatusConflict, "old")
		return
	case o.Until < w.clock():
		w.answer(rw, http.StatusConflict, "late")
		return
	}
	var b behaviour
	if err := json.Unmarshal([]byte(o.Spec), &b); err != nil {
		w.answer(rw, http.StatusBadRequest, "")
		return
	}
	run := &activeRun{run: o.Run, began: time.Now(), spec: b, length: time.Duration(b.RunMS+int64(indexOf(o.Task))*b.StepMS) * time.Millisecond}
	w.runs[o.Task] = run
	w.log.add("worker %s begins %s run %d", w.id, o.Task, o.Run)
	w.onStart(w, o.Task, o.Run)
	how := "done"
	if o.Run <= b.Failing {
		how = "failed"
	}
	if !b.Lasts || o.Run <= b.Failing {
		run.timer = time.AfterFunc(run.length, func() { w.finish(o.Task, run, how) })
	}
	w.answer(rw, http.StatusOK, "")
}

// finish ends a run unless it has ended already.
func (w *worker) finish(task string, r *activeRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs[task] == r && (!r.stopping || how == "stopped") {
		w.end(task, r, how)
	}
}

func (w *worker) end(task string, r *activeRun, how string) {
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(w.runs, task)
	w.number++
	e := ending{number: w.number, task: task, run: r.run, how: how, at: time.Now()}
	w.ended = append(w.ended, e)
	w.refused[task] = max(w.refused[task], r.run)
	w.log.add("worker %s ends %s run %d: %s", w.id, task, r.run, how)
	w.onEnd(w, e)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) hold(rw http.ResponseWriter, q *http.Request, o order) {
	var kept []ending
	for _, e := range w.ended {
		if e.number > o.Seen {
			kept = append(kept, e)
			continue
		}
		w.onNoted(w, e)
	}
	w.ended = kept
	born := w.born
	if len(w.ended) == 0 && o.Wait > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-q.Context().Done():
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		}
		w.mu.Lock()
	}
	if w.down || w.born != born {
		w.fallSilent(q)
	}
	running, ended := [][]any{}, [][]any{}
	for task, r := range w.runs {
		if r.stopping {
			continue
		}
		running = append(running, []any{task, r.run, "", r.percent(), 0})
	}
	for _, e := range w.ended {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	sort.Slice(ended, func(i, j int) bool { return ended[i][0].(int64) < ended[j][0].(int64) })
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended[:min(len(ended), 500)]})
}

// percent is the progress of a run; a lasting one is at work once it has started up.
func (r *activeRun) percent() int {
	since := time.Since(r.began)
	switch {
	case r.spec.Lasts && since >= startupTime:
		return 100
	case r.spec.Lasts:
		return 0
	default:
		return int(min(100, 100*since/max(r.length, 1)))
	}
}

func (w *worker) answer(rw http.ResponseWriter, status int, reason string) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	body := map[string]any{"clock_ms": w.clock()}
	if reason != "" {
		body["reason"] = reason
	}
	_ = json.NewEncoder(rw).Encode(body)
}

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	checkpointInterval = time.Second
	// daemonStartup is the time from the start of a task that lasts until it is at work.
	daemonStartup = 300 * time.Millisecond
	maxHold       = 6 * time.Second
	restoreTime   = 250 * time.Millisecond
	// stopTime is how long a stop takes; the pages allow 900 ms.
	stopTime = 50 * time.Millisecond
)

// spec is what the jobs of these cases write into their specification.
type spec struct {
	// MS is how long a task works, in milliseconds; Step is added for each index.
	MS          int64 `json:"ms"`
	Step        int64 `json:"step"`
	Lasts       bool  `json:"lasts"`
	Checkpoints bool  `json:"checkpoints"`
	// Label is the label that the worker must have; "" is none.
	Label string `json:"label"`
	// Gang is the number of tasks that work together; 0 is none.
	Gang int `json:"gang"`
}

// worker is a stand-in for one worker, which may have several lives.
type worker struct {
	id, machine, address string
	capacity             int64
	record               *record
	gangs                *gangs

	mu     sync.Mutex
	up     bool
	kind   string
	born   time.Time
	fence  int64
	lease  time.Time
	runs   map[string]*run
	ended  []endedRun
	number int64
	// refused holds the highest run of each task that can't start any more.
	refused map[string]int64
	changed chan struct{}
	life    int
}

type run struct {
	number   int64
	spec     spec
	started  time.Time
	resumed  time.Duration
	length   time.Duration
	timer    *time.Timer
	stopping bool
}

type endedRun struct {
	n          int64
	task       string
	run        int64
	how        string
	checkpoint string
}

// boot begins a life of the worker.
func (w *worker) boot(kind string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life++
	w.up, w.kind, w.born, w.fence, w.lease = true, kind, time.Now(), 0, time.Now()
	w.runs, w.ended, w.number, w.refused, w.changed = map[string]*run{}, nil, 0, map[string]int64{}, make(chan struct{})
	w.record.event("boot", w.id, "", 0, kind)
}

// crash ends the life of the worker, with all that runs there, and returns the tasks.
func (w *worker) crash(why string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var tasks []string
	for task, r := range w.runs {
		r.timer.Stop()
		tasks = append(tasks, task)
		w.record.end(w.id, task, r.number, "gone")
	}
	w.up = false
	w.runs = map[string]*run{}
	w.record.event("down", w.id, "", 0, why)
	return tasks
}

func (w *worker) row(address string) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	data, err := json.Marshal(map[string]any{
		"service": "s", "addr": address, "zone": "z", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0, "labels": []string{w.kind, "r1"},
		"capacity": map[string]int64{"cpu": w.capacity, "mem_mb": 64000, "gpu": 0}, "born": w.born.UnixMilli(), "seq": time.Since(w.born).Milliseconds()/1500 + 1,
	})
	if err != nil {
		panic(err)
	}
	return data
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

func (w *worker) handler() http.Handler {
	m := http.NewServeMux()
	for short, handle := range map[string]func(http.ResponseWriter, *http.Request, body){"start": w.start, "stop": w.stop, "hold": w.hold, "pace": w.pace} {
		m.HandleFunc("POST "+names[short], func(rw http.ResponseWriter, r *http.Request) {
			b, ok := readBody(r)
			if !ok {
				rw.WriteHeader(http.StatusBadRequest)
				return
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			if !w.up {
				panic(http.ErrAbortHandler)
			}
			if id := r.Header.Get("Expect-Instance"); id != "" && id != w.id {
				writeJSON(rw, http.StatusMisdirectedRequest, map[string]any{"clock_ms": w.clock()})
				return
			}
			if b.number("fence") < w.fence {
				w.record.event("refuses a call", w.id, r.URL.Path, b.number("fence"), fmt.Sprintf("fence %d seen", w.fence))
				w.refuse(rw, "fence")
				return
			}
			w.fence = b.number("fence")
			handle(rw, r, b)
		})
	}
	return m
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason})
}

// extend extends the lease of all runs, which never shortens.
func (w *worker) extend(until int64) {
	end := w.born.Add(time.Duration(until) * time.Millisecond)
	if most := time.Now().Add(maxHold); end.After(most) {
		end = most
	}
	if until == 0 || !end.After(w.lease) {
		return
	}
	w.lease = end
	life := w.life
	time.AfterFunc(time.Until(end), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life != life || !w.up || time.Now().Before(w.lease) {
			return
		}
		for task := range w.runs {
			w.end(task, "lapsed")
		}
	})
}

func (w *worker) start(rw http.ResponseWriter, _ *http.Request, b body) {
	task, number, until := b.text("task"), int64(b["run"].(float64)), b.number("until")
	if r := w.runs[task]; r != nil && r.number == number {
		w.extend(until)
		writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
		return
	}
	if w.runs[task] != nil || number <= w.refused[task] {
		w.extend(until)
		w.record.event("refuses as old", w.id, task, number, "")
		w.refuse(rw, "old")
		return
	}
	if until < w.clock() {
		w.record.event("refuses as late", w.id, task, number, "")
		w.refuse(rw, "late")
		return
	}
	w.extend(until)
	var s spec
	if err := json.Unmarshal([]byte(b.text("spec")), &s); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	index := int64(0)
	if parts := strings.Split(task, "."); len(parts) == 4 {
		fmt.Sscan(parts[3], &index)
	}
	r := &run{number: number, spec: s, started: time.Now(), length: time.Duration(s.MS+s.Step*index) * time.Millisecond}
	if c := b.text(names["checkpoint"]); len(c) == 16 {
		var ms int64
		fmt.Sscanf(c[:8], "%x", &ms)
		r.resumed = min(r.length, time.Duration(ms)*time.Millisecond)
	}
	wait := r.length
	if r.resumed > 0 {
		wait += restoreTime - r.resumed
	}
	life := w.life
	r.timer = time.AfterFunc(wait, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life == life && w.runs[task] == r && !r.stopping && !s.Lasts && s.Gang == 0 {
			w.end(task, "done")
		}
	})
	w.runs[task] = r
	w.record.begin(w.id, task, number, w.kind, s)
	if s.Gang > 0 {
		w.gangs.join(w, task, r)
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
}

func (w *worker) stop(rw http.ResponseWriter, _ *http.Request, b body) {
	task, number := b.text("task"), int64(b["run"].(float64))
	w.record.event("is told to stop", w.id, task, number, fmt.Sprintf("fence %d", w.fence))
	w.refused[task] = max(w.refused[task], number)
	if r := w.runs[task]; r != nil && r.number == number && !r.stopping {
		r.stopping = true
		life := w.life
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.life == life && w.runs[task] == r {
				w.end(task, "stopped")
			}
		})
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
}

func (w *worker) pace(rw http.ResponseWriter, _ *http.Request, _ body) {
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
}

// checkpointOf returns the last checkpoint of a run, or the one of this moment at a stop.
func (r *run) checkpointOf(task string, now bool) string {
	if !r.spec.Checkpoints {
		return ""
	}
	done := time.Since(r.started)
	if !now {
		done = done.Truncate(checkpointInterval)
	}
	if done += r.resumed; done == 0 {
		return ""
	}
	return fmt.Sprintf("%08x%s", min(done, r.length).Milliseconds(), task[:8])
}

func (w *worker) end(task, how string) {
	r := w.runs[task]
	r.timer.Stop()
	delete(w.runs, task)
	if r.spec.Gang > 0 {
		go w.gangs.leave(task, r.number)
	}
	w.number++
	w.ended = append(w.ended, endedRun{n: w.number, task: task, run: r.number, how: how, checkpoint: r.checkpointOf(task, how == "stopped")})
	w.refused[task] = max(w.refused[task], r.number)
	w.record.end(w.id, task, r.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) hold(rw http.ResponseWriter, q *http.Request, b body) {
	w.extend(b.number("until"))
	seen, kept := b.number("seen"), []endedRun{}
	for _, e := range w.ended {
		if e.n > seen {
			kept = append(kept, e)
			continue
		}
		w.record.noted(w.id, e.task, e.run, e.how)
	}
	w.ended = kept
	if wait := b.number("wait"); len(w.ended) == 0 && wait > 0 {
		changed, life := w.changed, w.life
		w.mu.Unlock()
		select {
		case <-changed:
		case <-q.Context().Done():
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
		w.mu.Lock()
		if !w.up || w.life != life {
			panic(http.ErrAbortHandler)
		}
	}
	running, ended := [][]any{}, [][]any{}
	for task, r := range w.runs {
		if r.stopping {
			continue
		}
		running = append(running, []any{task, r.number, r.checkpointOf(task, false), r.percent(), 0})
	}
	for _, e := range w.ended[:min(len(w.ended), 500)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, e.checkpoint})
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended})
}

// percent is the progress of a run; a task that lasts is at work once it has started up.
func (r *run) percent() int {
	if r.spec.Lasts {
		return int(min(100, 100*time.Since(r.started)/daemonStartup))
	}
	return int(min(100, 100*(r.resumed+time.Since(r.started))/max(1, r.length)))
}

// atWork lists the tasks that last and are at work here.
func (w *worker) atWork() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var tasks []string
	for task, r := range w.runs {
		if r.spec.Lasts && !r.stopping && r.percent() >= 100 {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

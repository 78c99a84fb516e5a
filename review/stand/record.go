package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, and checks the rules that concern single
// tasks.
type record struct {
	mu      sync.Mutex
	file    *os.File
	begun   time.Time
	running map[string]map[string]bool
	// done holds the tasks that have a run that ended as done, noted those of them that the
	// owner has taken note of.
	done, noteds map[string]bool
	lastRun      map[string]time.Time
	faults       []string
	ends         int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, begun: time.Now(), running: map[string]map[string]bool{}, done: map[string]bool{}, noteds: map[string]bool{}, lastRun: map[string]time.Time{}}, err
}

func (r *record) write(format string, values ...any) {
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, values...))
}

func (r *record) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, values...)
}

// fault records that a rule is broken.
func (r *record) fault(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addFault(format, values...)
}

func (r *record) addFault(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	r.faults = append(r.faults, text)
	r.write("BROKEN %s", text)
}

func (r *record) event(kind, worker, task string, run int64, more string) {
	r.line("%s %s %s %d %s", worker, kind, task, run, more)
}

func (r *record) begin(worker, task string, run int64, kind string, s spec) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("%s begins %s run %d", worker, task, run)
	if r.running[task] == nil {
		r.running[task] = map[string]bool{}
	}
	if len(r.running[task]) > 0 {
		for other := range r.running[task] {
			r.addFault("TWICE: %s begins on %s while it runs on %s", task, worker, other)
		}
	}
	if r.noteds[task] {
		r.addFault("TWICE: %s begins on %s after a run that ended done was taken note of", task, worker)
	}
	if s.Label != "" && s.Label != kind {
		r.addFault("ROUTE: %s, which requires %s, begins on %s of kind %s", task, s.Label, worker, kind)
	}
	r.running[task][worker] = true
	r.lastRun[task] = time.Now()
}

func (r *record) end(worker, task string, run int64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("%s ends %s run %d %s", worker, task, run, how)
	delete(r.running[task], worker)
	r.lastRun[task] = time.Now()
	if how == "done" {
		r.done[task] = true
	}
	r.ends++
}

func (r *record) noted(worker, task string, run int64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if how == "done" {
		r.noteds[task] = true
	}
}

// ofJob returns how many tasks of a job run, and when one last did.
func (r *record) ofJob(id string) (running, done int, last time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task, workers := range r.running {
		if task[:16] != id {
			continue
		}
		if len(workers) > 0 {
			running++
			last = time.Now()
		}
		if r.done[task] {
			done++
		}
		if t := r.lastRun[task]; t.After(last) {
			last = t
		}
	}
	return running, done, last
}

package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/vanillaquay/vanillaquay/platformstandin"
)

// Limits of the rule on tasks that last: it holds from restAfter after the last run of a task,
// and is broken if the task has nothing running for idleLimit while there is room for it twice
// over, and the calmBefore before are calm as well.
const (
	restAfter  = 6 * time.Second
	idleLimit  = 3 * time.Second
	calmBefore = 4 * time.Second
)

// lasting makes a job's only step one of tasks that last.
func lasting(job map[string]any) {
	step := job["steps"].([]any)[0].(map[string]any)
	step["daemon"] = true
	delete(step, "estimate_"+"ms")
}

// inGang makes a job's only step a gang.
func inGang(job map[string]any) { job["steps"].([]any)[0].(map[string]any)["gang"] = true }

// free returns the room on the workers that are up, in thousandths of a processor, and how many
// tasks of a size fit there.
func (w *world) free(size int64) (room, fits int64) {
	for _, k := range w.workers {
		k.mu.Lock()
		left := k.capacity
		for _, r := range k.runs {
			left -= r.spec.CPU
		}
		if !k.down {
			room, fits = room+left, fits+left/size
		}
		k.mu.Unlock()
	}
	return room, fits
}

// watchService watches a task that lasts until the end, and returns the longest time for which
// it had nothing running although there was room for it twice over. Time before from and
// restAfter after its last run does not count.
func (w *world) watchService(task string, size int64, from, end time.Time) time.Duration {
	var since time.Time
	var longest time.Duration
	for ; time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		now := time.Now()
		h := w.judge.history(task)
		_, fits := w.free(size)
		if len(h.active) > 0 || fits < 2 || now.Sub(h.lastEnd) < restAfter || now.Before(from) {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = now
		}
		longest = max(longest, now.Sub(since))
	}
	return longest
}

func started(w *world, task string) func() bool {
	return func() bool { return w.judge.history(task).starts > 0 }
}

// workerOf returns the worker on which a task runs, or nil.
func (w *world) workerOf(task string) *worker {
	w.judge.mu.Lock()
	defer w.judge.mu.Unlock()
	for _, k := range w.judge.task(task).active {
		return k
	}
	return nil
}

// serviceBehindGang loses the worker of a task that lasts, for good, while the others are full
// and a gang waits for two whole workers.
func serviceBehindGang(p play) ([]string, error) {
	const workers, whole = 11, 16000
	w, err := openWorld(options{hosts: 3, workers: workers, cpu: whole, queues: []platformstandin.Queue{{Name: "plain", Attempts: 4}}}, p.log, p.program, p.directory)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if err := w.startAll(); err != nil {
		return nil, err
	}
	const service = "00000000000000d0"
	task := service + ".0.0.0"
	if !w.submit("/plain/"+service, behaviour{CPU: 2000, Lasts: true}, []platformstandin.Step{{Tasks: 1, Processors: 2000}}, lasting) || !waitFor(5*time.Second, started(w, task)) {
		return nil, errNotAccepted
	}
	// Work that fills the workers: all but one keep theirs to the end, one has room after 20 s.
	fill := func(id string, cpu, ms int64) bool {
		return w.submit("/plain/"+id, behaviour{CPU: cpu, RunMS: ms}, []platformstandin.Step{{Tasks: 1, Processors: cpu, EstimateMS: ms}}, nil) && waitFor(5*time.Second, started(w, id+".0.0.0"))
	}
	for n := range workers - 1 {
		ms := int64(90000)
		if n == 0 {
			ms = 20000
		}
		if !fill(fmt.Sprintf("00000000000000f%d", n), whole, ms) {
			return nil, errNotAccepted
		}
	}
	if !w.submit("/plain/00000000000000a0", behaviour{CPU: whole, RunMS: 30000}, []platformstandin.Step{{Tasks: 2, Processors: whole, EstimateMS: 30000}}, inGang) {
		return nil, errNotAccepted
	}
	time.Sleep(3 * time.Second)
	k := w.workerOf(task)
	if k == nil {
		return nil, errors.New("the service does not run")
	}
	calm := time.Now()
	if p.trouble {
		k.crash(true)
		calm = time.Now().Add(calmBefore)
	}
	longest := w.watchService(task, 2000, calm, time.Now().Add(45*time.Second))
	p.log.add("longest time with nothing running and room for the task twice over: %s", longest)
	if longest >= idleLimit {
		return []string{fmt.Sprintf("LOST: %s had nothing running for %s although there was room for it twice over", task, longest.Round(100*time.Millisecond))}, nil
	}
	return w.judge.broken(), nil
}

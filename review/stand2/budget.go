package main

import (
	"fmt"
	"time"

	"github.com/vanillaquay/vanillaquay/platformstandin"
)

// waveOverBudget asks for the upkeep, one after the other, of the two machines on which the two
// tasks of a service are at work. One of them may be away.
func waveOverBudget(p play) ([]string, error) {
	const tasks, mayMiss = 2, 1
	w, err := openWorld(options{hosts: 3, workers: 6, cpu: 16000, queues: []platformstandin.Queue{{Name: "plain", Attempts: 4}}}, p.log, p.program, p.directory)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if err := w.startAll(); err != nil {
		return nil, err
	}
	const service = "00000000000000d0"
	w.judge.budgets[service] = budget{tasks: tasks, mayMiss: mayMiss}
	name := func(i int) string { return fmt.Sprintf("%s.0.0.%d", service, i) }
	if !w.submit("/plain/"+service, behaviour{CPU: 2000, Lasts: true}, []platformstandin.Step{{Tasks: tasks, Processors: 2000}}, func(job map[string]any) {
		lasting(job)
		step := job["steps"].([]any)[0].(map[string]any)
		step["may"+"_miss"], step["max"+"_per_server"] = mayMiss, 1
	}) || !waitFor(5*time.Second, started(w, name(0))) || !waitFor(5*time.Second, started(w, name(1))) {
		return nil, errNotAccepted
	}
	time.Sleep(3 * time.Second)
	if p.trouble {
		var machines []string
		for i := range tasks {
			machines = append(machines, "m"+w.workerOf(name(i)).id[1:])
		}
		w.wave(1, machines, 1, 5)
	}
	var since time.Time
	var longest time.Duration
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if w.atWork(name(0)) || w.atWork(name(1)) {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
		}
		longest = max(longest, time.Since(since))
	}
	p.log.add("status of the wave: %s", w.store.Value("status", "wave/1"))
	p.log.add("longest time with no task of the service at work: %s", longest)
	return w.judge.broken(), nil
}

// atWork reports whether a task that lasts is at work.
func (w *world) atWork(task string) bool {
	for _, k := range w.workers {
		k.mu.Lock()
		r := k.runs[task]
		up := r != nil && r.percent() == 100
		k.mu.Unlock()
		if up {
			return true
		}
	}
	return false
}

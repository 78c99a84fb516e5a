package main

import (
	"fmt"
	"time"

	"github.com/vanillaquay/vanillaquay/platformstandin"
)

// finishTime is how long after the end of the traffic jobs are asked for.
const finishTime = 14 * time.Second

// ofKind makes a job's only step need a kind of worker.
func ofKind(kind string) func(job map[string]any) {
	return func(job map[string]any) { job["steps"].([]any)[0].(map[string]any)["requires"] = kind }
}

// waveWaits asks for the upkeep of the only machine of a kind, on which a service without a
// budget runs, and then hands in a job that needs this kind.
func waveWaits(p play) ([]string, error) {
	w, err := openWorld(options{hosts: 3, workers: 4, cpu: 16000, special: 1, queues: []platformstandin.Queue{{Name: "plain", Attempts: 4}}}, p.log, p.program, p.directory)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if err := w.startAll(); err != nil {
		return nil, err
	}
	const service, job = "00000000000000d0", "00000000000000a0"
	if !w.submit("/plain/"+service, behaviour{CPU: 2000, Lasts: true}, []platformstandin.Step{{Tasks: 1, Processors: 2000}}, func(job map[string]any) {
		lasting(job)
		ofKind("b")(job)
	}) || !waitFor(5*time.Second, started(w, service+".0.0.0")) {
		return nil, errNotAccepted
	}
	if p.trouble {
		w.wave(1, []string{"m0"}, 1, 20)
	}
	time.Sleep(3 * time.Second)
	if !w.submit("/plain/"+job, behaviour{CPU: 1000, RunMS: 1000}, []platformstandin.Step{{Tasks: 1, Processors: 1000, EstimateMS: 1000}}, ofKind("b")) {
		return nil, errNotAccepted
	}
	accepted := time.Now()
	var idle time.Time
	var longest time.Duration
	for time.Since(accepted) < 60*time.Second {
		h := w.judge.history(job + ".0.0.0")
		special := w.workers[0]
		special.mu.Lock()
		left, down := special.capacity, special.down
		for _, r := range special.runs {
			left -= r.spec.CPU
		}
		special.mu.Unlock()
		if !h.doneAt.IsZero() || len(h.active) > 0 || down || left < 2*1000 || time.Since(accepted) < finishTime {
			idle = time.Time{}
		} else {
			if idle.IsZero() {
				idle = time.Now()
			}
			longest = max(longest, time.Since(idle))
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.log.add("state of the job: %s; of the service: %s; of the wave: %s", w.state(0, "/plain/"+job), w.state(0, "/plain/"+service), w.store.Value("status", "wave/1"))
	p.log.add("longest time with nothing running and room for the job twice over, later than %s: %s", finishTime, longest)
	if longest >= idleLimit {
		return []string{fmt.Sprintf("LOST: job %s had nothing running for %s, later than %s after it was accepted, although there was room for it twice over", job, longest.Round(100*time.Millisecond), finishTime)}, nil
	}
	return w.judge.broken(), nil
}

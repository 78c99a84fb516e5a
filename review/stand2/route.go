package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/vanillaquay/vanillaquay/platformstandin"
)

var (
	errNotReady    = errors.New("the hosts did not become ready")
	errNotAccepted = errors.New("a job was not accepted")
)

// routeReturns takes a route out of the manifest while a job of its queue is at its last
// attempt, and puts it back.
func routeReturns(p play) ([]string, error) {
	const attempts = 2
	all := []platformstandin.Queue{{Name: "plain", Attempts: attempts}, {Name: "other", Attempts: attempts}}
	w, err := openWorld(options{hosts: 3, workers: 4, cpu: 16000, queues: all}, p.log, p.program, p.directory)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if err := w.startAll(); err != nil {
		return nil, err
	}
	const id = "00000000000000a1"
	task := id + ".0.0.0"
	if !w.submit("/plain/"+id, behaviour{CPU: 1000, RunMS: 4000, Failing: 100}, []platformstandin.Step{{Tasks: 1, Processors: 1000, EstimateMS: 4000}}, nil) {
		return nil, errNotAccepted
	}
	if !waitFor(20*time.Second, func() bool { return w.judge.history(task).starts == attempts }) {
		return nil, errors.New("the task did not run twice")
	}
	if p.trouble {
		if err := w.setQueues(all[1:]); err != nil {
			return nil, err
		}
	}
	if !waitFor(10*time.Second, func() bool { return w.judge.history(task).failed == attempts }) {
		return nil, errors.New("the ends were not taken note of")
	}
	time.Sleep(4 * time.Second)
	if p.trouble {
		if err := w.setQueues(all); err != nil {
			return nil, err
		}
	}
	time.Sleep(8 * time.Second)
	p.log.add("state at the end: %s", w.state(0, "/plain/"+id))
	if n := w.judge.history(task).starts; n > attempts {
		return []string{fmt.Sprintf("BUDGET: %d starts of %s, of which %d came after %d runs had ended failed and were taken note of", n, task, n-attempts, attempts)}, nil
	}
	return w.judge.broken(), nil
}

// waitFor waits until a condition holds, and reports whether it did in time.
func waitFor(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

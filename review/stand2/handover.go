package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/vanillaquay/vanillaquay/platformstandin"
)

// serviceAcrossHandover loses the worker of a task that lasts, for good, and changes the settings
// of the owner's host two seconds later.
func serviceAcrossHandover(p play) ([]string, error) {
	w, err := openWorld(options{hosts: 3, workers: 11, cpu: 16000, queues: []platformstandin.Queue{{Name: "plain", Attempts: 4}}}, p.log, p.program, p.directory)
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
	time.Sleep(3 * time.Second)
	k := w.workerOf(task)
	owner := w.owner()
	if k == nil || owner < 0 {
		return nil, errors.New("the service does not run, or there is no owner")
	}
	k.crash(true)
	time.Sleep(2 * time.Second)
	if p.trouble {
		w.statusSeconds++
		if err := w.writeSettings(owner, w.hosts[owner]); err != nil {
			return nil, err
		}
		w.signal(owner, syscall.SIGHUP)
	}
	longest := w.watchService(task, 2000, time.Now().Add(calmBefore), time.Now().Add(20*time.Second))
	p.log.add("longest time with nothing running and room for the task twice over: %s", longest)
	if longest >= idleLimit {
		return []string{fmt.Sprintf("LOST: %s had nothing running for %s although there was room for it twice over", task, longest.Round(100*time.Millisecond))}, nil
	}
	return w.judge.broken(), nil
}

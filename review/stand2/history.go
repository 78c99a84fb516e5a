package main

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/vanillaquay/vanillaquay/platformstandin"
)

const (
	// historyLength is how much of its history the store keeps, at most.
	historyLength = 500 * time.Millisecond
	// askTime is how long the jobs are asked for, once finishTime has passed.
	askTime = 30 * time.Second
)

// ownerRemoved removes the owner's host for good, by SIGKILL. The store keeps little of its history,
// also without the disruption.
func ownerRemoved(p play) ([]string, error) {
	w, err := openWorld(options{hosts: 3, workers: 16, cpu: 16000, queues: []platformstandin.Queue{{Name: "plain", Attempts: 4}}}, p.log, p.program, p.directory)
	if err != nil {
		return nil, err
	}
	defer w.close()
	stop := make(chan struct{})
	defer close(stop)
	go w.keepHistory(stop)
	if err := w.startAll(); err != nil {
		return nil, err
	}
	var paths []string
	for n := range 5 {
		path := fmt.Sprintf("/plain/00000000000000a%d", n)
		if !w.submit(path, behaviour{CPU: 1000, RunMS: 8000}, []platformstandin.Step{{Tasks: 2, Processors: 1000, EstimateMS: 8000}}, nil) {
			return nil, errNotAccepted
		}
		paths = append(paths, path)
	}
	time.Sleep(4 * time.Second)
	owner := w.owner()
	if owner < 0 {
		return nil, errors.New("there is no owner")
	}
	asked := []int{(owner + 1) % len(w.hosts), (owner + 2) % len(w.hosts)}
	if p.trouble {
		w.log.add("host %s is removed for good", w.hosts[owner].name)
		w.signal(owner, syscall.SIGKILL)
	}
	time.Sleep(finishTime)
	answered, unanswered := 0, 0
	for n, end := 0, time.Now().Add(askTime); time.Now().Before(end); n++ {
		status, _ := w.call(asked[n%len(asked)], http.MethodGet, paths[n%len(paths)], nil)
		if status == http.StatusOK || status == http.StatusGone {
			answered++
		} else {
			unanswered++
		}
		time.Sleep(200 * time.Millisecond)
	}
	p.log.add("jobs asked for, later than %s after the end of the traffic: %d answers, %d times none", finishTime, answered, unanswered)
	if answered == 0 {
		return []string{fmt.Sprintf("LOST: no accepted job was answered for %s, %d times asked at the two hosts that are up, later than %s after the end of the traffic", askTime, unanswered, finishTime)}, nil
	}
	return w.judge.broken(), nil
}

// keepHistory drops the store's history from time to time.
func (w *world) keepHistory(stop chan struct{}) {
	w.log.add("store: keeps %s of its history at most", historyLength)
	for {
		w.store.DropHistory()
		select {
		case <-stop:
			return
		case <-time.After(historyLength):
		}
	}
}

package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/vanillaquay/vanillaquay/platformstandin"
)

// Bounds of tdg-quay-grown.
const (
	stableWindow = 5 * time.Second
	configTime   = 4 * time.Second
)

// silentChannel makes one open connection of one host to the store go silent, waits until the
// host is in touch again, and adds a route.
func silentChannel(p play) ([]string, error) {
	first := []platformstandin.Queue{{Name: "plain", Attempts: 4}}
	w, err := openWorld(options{hosts: 3, workers: 4, cpu: 16000, queues: first}, p.log, p.program, p.directory)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if err := w.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	host := (w.owner() + 1) % len(w.hosts)
	if p.trouble {
		n := w.storeLinks[host].silence("table=op")
		p.log.add("%d open connection of %s to the store goes silent", n, w.hosts[host].name)
		if n != 1 {
			return nil, errors.New("not one connection was chosen")
		}
	}
	time.Sleep(stableWindow + time.Second)
	if err := w.setQueues(append(first, platformstandin.Queue{Name: "added", Attempts: 4})); err != nil {
		return nil, err
	}
	time.Sleep(configTime + 200*time.Millisecond)
	var broken []string
	for n := range 40 {
		path := fmt.Sprintf("/added/%016x", n+1)
		for i := range w.hosts {
			if status, _ := w.call(i, http.MethodGet, path, nil); status == http.StatusNotFound && len(broken) < 5 {
				broken = append(broken, fmt.Sprintf("CONFIG: %s answers 404 on a route that was acknowledged over %s before", w.hosts[i].name, configTime))
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return append(broken, w.judge.broken()...), nil
}

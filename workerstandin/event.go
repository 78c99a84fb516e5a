package workerstandin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/vanillaquay/vanillaquay/worker"
)

// maxEvents bounds the number of retained events; the oldest are dropped.
const maxEvents = 4096

// emit appends an event and wakes the waiting readers. The caller holds a.mu.
func (a *Agent) emit(e worker.Event) {
	a.sequence++
	e.Sequence = a.sequence
	a.events = append(a.events, e)
	if len(a.events) > maxEvents {
		a.events = a.events[len(a.events)-maxEvents:]
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *Agent) listEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a number", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, "wait must be a duration", http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		events, changed := a.eventsAfter(after)
		if len(events.Events) > 0 {
			writeJSON(w, events)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			writeJSON(w, events)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (a *Agent) eventsAfter(after uint64) (worker.Events, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	events := worker.Events{Instance: a.instance}
	for _, e := range a.events {
		if e.Sequence > after {
			events.Events = append(events.Events, e)
		}
	}
	return events, a.changed
}

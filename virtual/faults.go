package virtual

import (
	"time"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/load"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/task"
)

// failureDetectionTime is how long after a worker begins to fail a scheduler is
// expected to have detected it.
const failureDetectionTime = 10 * time.Second

func (r *run) addFaults() {
	for _, f := range r.load.Faults {
		switch f.Kind {
		case load.RackLost:
			r.after(f.At, func() { r.loseRack(f.Target) })
		case load.WorkerFails:
			r.after(f.At, func() { r.setFailing(f.Target, true) })
			r.after(f.Until, func() { r.setFailing(f.Target, false) })
		case load.StoreDown:
			r.after(f.At, func() { r.store.down = true })
			r.after(f.At+leaseTimeout, func() { r.apply(decision.LeaseChanged{}) })
			r.after(f.Until, func() {
				r.store.down = false
				r.apply(decision.LeaseChanged{Valid: true})
			})
		}
	}
}

// loseRack permanently silences the workers of a rack.
func (r *run) loseRack(name string) {
	o := r.racks[name]
	o.lost = true
	for id := range o.workers {
		o.workers[id].silent = true
	}
	r.after(silentAfter, func() {
		for _, id := range o.workerIDs {
			o.rack.SetState(id, rack.Silent)
		}
		o.changed()
	})
	r.after(lostAfter, func() {
		for _, id := range o.activeAttempts() {
			o.end(o.attempts[id], task.Lost)
		}
	})
}

// setFailing sets whether a worker fails every attempt that it starts.
func (r *run) setFailing(id string, failing bool) {
	for _, o := range r.owners {
		if w, ok := o.workers[id]; ok {
			w.failing = failing
			w.failingSince = r.now
		}
	}
}

// pastFailureDetection reports whether some worker is failing and
// failureDetectionTime has passed since its failure began.
func (r *run) pastFailureDetection() bool {
	for _, f := range r.load.Faults {
		if f.Kind == load.WorkerFails && r.now >= f.At+failureDetectionTime && r.now < f.Until {
			return true
		}
	}
	return false
}

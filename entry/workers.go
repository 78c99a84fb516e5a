package entry

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/worker"
)

// workerLinks holds the links to the workers of owned racks. The zero value holds none.
// It belongs to the goroutine of the rack duty.
type workerLinks struct {
	duty    *rackDuty
	links   map[workerName]*worker.Link
	session uint64
	closing sync.WaitGroup
}

// workerName identifies a worker in a rack.
type workerName struct{ rack, worker string }

func (l *workerLinks) open(rackName string, epoch uint64, h tablestore.Host) {
	if l.links == nil {
		l.links = map[workerName]*worker.Link{}
	}
	l.session++
	name := workerName{rack: rackName, worker: h.ID}
	l.links[name] = worker.Open(worker.LinkOptions{
		Worker: h.ID, Owner: l.duty.host.name, Epoch: epoch, Session: l.session, Address: h.Address,
		Renewal: l.duty.host.workerRenewal,
	}, &workerListener{duty: l.duty, name: name})
}

// close ends a link. No more commands are sent once it returns. The link's goroutines
// end later, since they may be waiting for space in the duty's queue.
func (l *workerLinks) close(name workerName) {
	link, ok := l.links[name]
	if !ok {
		return
	}
	delete(l.links, name)
	link.Cancel()
	l.closing.Add(1)
	go func() {
		defer l.closing.Done()
		link.Close()
	}()
}

// closeAll ends every link. Messages that the links' goroutines still put into the
// queue are dropped.
func (l *workerLinks) closeAll() {
	for name := range l.links {
		l.close(name)
	}
	done := make(chan struct{})
	go func() {
		l.closing.Wait()
		close(done)
	}()
	for {
		select {
		case <-l.duty.messages.Values():
		case <-done:
			return
		}
	}
}

func (l *workerLinks) send(name workerName, c worker.Command) error {
	link, ok := l.links[name]
	if !ok {
		return errors.NotFoundf("link to worker %s", name.worker)
	}
	if err := link.Send(c); err != nil {
		l.duty.host.log.Warnf("Worker: command for %s dropped: %v.", name.worker, err)
		return err
	}
	return nil
}

// workerListener passes the events of a link to the rack duty. Events that arrive after
// the link was closed are dropped, since another link or owner is responsible for the
// worker by then.
type workerListener struct {
	duty *rackDuty
	name workerName
}

func (w *workerListener) put(l *worker.Link, message func(now time.Time)) {
	w.duty.put(func(now time.Time) {
		if w.duty.links.links[w.name] == l {
			message(now)
		}
	})
}

// HandleInventory implements worker.Listener.
func (w *workerListener) HandleInventory(l *worker.Link, i worker.Inventory) {
	w.put(l, func(now time.Time) { w.duty.owner.HandleInventory(now, w.name.rack, w.name.worker, i) })
}

// HandleResult implements worker.Listener.
func (w *workerListener) HandleResult(l *worker.Link, c worker.Command, r worker.Result) {
	w.put(l, func(now time.Time) { w.duty.owner.HandleResult(now, w.name.rack, w.name.worker, c, r) })
}

// HandleUnanswered implements worker.Listener.
func (w *workerListener) HandleUnanswered(l *worker.Link, c worker.Command) {
	w.put(l, func(now time.Time) { w.duty.owner.HandleUnanswered(now, w.name.rack, w.name.worker, c) })
}

// HandleEvents implements worker.Listener.
func (w *workerListener) HandleEvents(l *worker.Link, events []worker.Event) {
	w.put(l, func(now time.Time) { w.duty.owner.HandleEvents(now, w.name.rack, w.name.worker, events) })
}

// HandleSilence implements worker.Listener. A host without a valid lease may have been paused
// while another member took the rack over, so that it declares nothing lost.
func (w *workerListener) HandleSilence(l *worker.Link, since time.Duration) {
	w.put(l, func(now time.Time) {
		if !w.duty.host.lease.ValidFor(0) {
			since = 0
		}
		w.duty.owner.HandleSilence(now, w.name.rack, w.name.worker, since)
	})
}

// HandleFenced implements worker.Listener.
func (w *workerListener) HandleFenced(l *worker.Link) {
	w.put(l, func(time.Time) { w.duty.owner.HandleFenced(w.name.rack, w.name.worker) })
}

package soak

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/platformstandin"
	"github.com/vanillaquay/vanillaquay/proxytest"
)

const (
	// storeDelay and linkDelay are far above the latencies of the store and of links without
	// faults.
	storeDelay = 400 * time.Millisecond
	linkDelay  = 150 * time.Millisecond
	// ownerTimeout bounds the search for the owner, as some hosts may be paused.
	ownerTimeout = 100 * time.Millisecond
	// announceDelay is how long after its start a worker that crashed writes its row.
	announceDelay = 300 * time.Millisecond
)

// injector injects the faults of a plan.
type injector struct {
	cell    *cell
	history *history
	faults  sync.WaitGroup

	mu sync.Mutex
	// version and queues are the catalogue in force; settingsChanges counts the changes of
	// settings.
	version, settingsChanges int
	queues                   []platformstandin.Queue
	organisations            []platformstandin.Organisation
	// keyCount is the number of keys that there have been.
	keyCount int
}

// run injects each fault at its time, and returns when all have ended.
func (i *injector) run(ctx context.Context, plan []Fault) {
	begun := time.Now()
	for _, f := range plan {
		select {
		case <-ctx.Done():
		case <-time.After(f.At - time.Since(begun)):
		}
		if ctx.Err() != nil {
			break
		}
		i.faults.Go(func() { i.execute(ctx, f) })
	}
	i.faults.Wait()
}

// execute injects one fault, waits for its length and ends it.
func (i *injector) execute(ctx context.Context, f Fault) {
	if f.Owner {
		f.Host = i.owner(f.Host)
	}
	logrus.WithFields(logrus.Fields{"kind": f.Kind, "host": f.Host, "worker": f.Worker, "length": f.Length}).Debug("soak: fault")
	number := i.history.addDisruption(f)
	end := i.inject(f)
	select {
	case <-time.After(f.Length):
	case <-ctx.Done():
	}
	if end != nil {
		end()
	}
	i.history.endDisruption(number)
}

// owner returns the number of a host that says it owns the cell, or fallback if none does.
func (i *injector) owner(fallback int) int {
	ctx, cancel := context.WithTimeout(context.Background(), ownerTimeout)
	defer cancel()
	owners := make(chan int, len(i.cell.hosts))
	var asked sync.WaitGroup
	for n := range i.cell.hosts {
		asked.Go(func() {
			if i.cell.isOwner(ctx, n) {
				owners <- n
			}
		})
	}
	asked.Wait()
	select {
	case n := <-owners:
		return n
	default:
		return fallback
	}
}

// inject begins a fault and returns a function that ends it, or nil if nothing has to be
// ended.
func (i *injector) inject(f Fault) func() {
	c := i.cell
	h := c.hosts[f.Host]
	switch f.Kind {
	case Terminate:
		h.terminate()
		return func() { i.startHost(h) }
	case Hangup:
		i.changeSettings(f.Host)
		h.signal(syscall.SIGHUP)
	case ChangeCatalogue:
		i.changeCatalogue()
	case ChangeKeys:
		i.changeKeys(f.Organisation)
	case ChangeLimit:
		i.changeLimit(f.Organisation, f.Limit)
	case RenameRoute:
		i.renameRoute(f.Route)
	case Kill:
		h.kill()
		return func() { i.startHost(h) }
	case KillAll:
		return i.killAll()
	case Pause:
		h.signal(syscall.SIGSTOP)
		return func() { h.signal(syscall.SIGCONT) }
	case RestartWorker, MuteWorker, DrainWorker, CrashWorker:
		return i.injectWorkerFault(f)
	case StoreDown, StoreSlow, LoseAnswers, DropHistory:
		return i.injectStoreFault(f)
	default:
		return i.injectLinkFault(f)
	}
	return nil
}

func (i *injector) startHost(h *process) {
	if err := h.start(); err != nil {
		logrus.WithError(err).Error("soak: host not started")
	}
}

func (i *injector) killAll() func() {
	for _, h := range i.cell.hosts {
		h.kill()
	}
	return func() {
		for _, h := range i.cell.hosts {
			i.startHost(h)
		}
	}
}

func (i *injector) injectWorkerFault(f Fault) func() {
	w := i.cell.workers[f.Worker]
	switch f.Kind {
	case MuteWorker:
		w.SetSilent(true)
		return func() { w.SetSilent(false) }
	case DrainWorker:
		i.putWorkerRow(f.Worker, platformstandin.StateDraining)
		return func() {
			i.cutWorker(f.Worker, true)
			i.restartWorker(f.Worker)
		}
	case CrashWorker:
		w.Restart()
		i.forLinksOf(f.Worker, func(p *proxytest.Proxy) {
			p.Blackhole(true, true)
			p.Pause(true)
		})
		return func() {
			w.Restart()
			i.forLinksOf(f.Worker, func(p *proxytest.Proxy) { p.Pause(false) })
			time.AfterFunc(announceDelay, func() { i.putWorkerRow(f.Worker, platformstandin.StateReady) })
		}
	default:
		// Cutting the connections drops what is in flight to the worker's earlier life.
		i.cutWorker(f.Worker, true)
		w.Restart()
		return func() { i.restartWorker(f.Worker) }
	}
}

// restartWorker begins a new life of a worker that was cut off, and reconnects it.
func (i *injector) restartWorker(worker int) {
	i.cell.workers[worker].Restart()
	i.cutWorker(worker, false)
	i.putWorkerRow(worker, platformstandin.StateReady)
}

func (i *injector) putWorkerRow(worker int, state string) {
	if err := i.cell.putWorkerRow(worker, state); err != nil {
		logrus.WithError(err).Error("soak: worker not announced")
	}
}

// cutWorker disconnects a worker from all hosts, or reconnects it.
func (i *injector) cutWorker(worker int, cut bool) {
	i.forLinksOf(worker, func(p *proxytest.Proxy) { p.Cut(cut) })
}

// forLinksOf calls change for the links of all hosts to a worker.
func (i *injector) forLinksOf(worker int, change func(p *proxytest.Proxy)) {
	for _, links := range i.cell.workerLinks {
		change(links[worker])
	}
}

func (i *injector) injectStoreFault(f Fault) func() {
	rows := i.cell.store
	switch f.Kind {
	case StoreDown:
		rows.UpdateFaults(func(f *platformstandin.RowFaults) { f.Down = true })
		return func() { rows.UpdateFaults(func(f *platformstandin.RowFaults) { f.Down = false }) }
	case StoreSlow:
		rows.UpdateFaults(func(f *platformstandin.RowFaults) { f.Delay = storeDelay })
		return func() { rows.UpdateFaults(func(f *platformstandin.RowFaults) { f.Delay = 0 }) }
	case LoseAnswers:
		rows.UpdateFaults(func(s *platformstandin.RowFaults) { s.LoseAnswers += f.Answers })
		return func() { rows.UpdateFaults(func(s *platformstandin.RowFaults) { s.LoseAnswers = 0 }) }
	default:
		rows.DropHistory()
		return nil
	}
}

// injectLinkFault begins a fault of connections, and returns a function that ends it.
func (i *injector) injectLinkFault(f Fault) func() {
	links := i.linksOf(f)
	each := func(change func(p *proxytest.Proxy)) func() {
		return func() {
			for _, link := range links {
				change(link)
			}
		}
	}
	switch f.Kind {
	case CutStore, CutWorker, CutHosts:
		each(func(p *proxytest.Proxy) { p.Cut(true) })()
		return each(func(p *proxytest.Proxy) { p.Cut(false) })
	case HoldStore, HoldWorker, HoldHosts:
		each(func(p *proxytest.Proxy) { p.Pause(true) })()
		return each(func(p *proxytest.Proxy) { p.Pause(false) })
	case DelayWorkers:
		each(func(p *proxytest.Proxy) { p.SetDelay(linkDelay) })()
		return each(func(p *proxytest.Proxy) { p.SetDelay(0) })
	case ResetLinks:
		each(func(p *proxytest.Proxy) { p.Cut(true); p.Cut(false) })()
		return nil
	default:
		each(func(p *proxytest.Proxy) { p.Blackhole(f.There, f.Back) })()
		return nil
	}
}

func (i *injector) linksOf(f Fault) []*proxytest.Proxy {
	c := i.cell
	switch f.Kind {
	case CutStore, HoldStore, SilenceStore:
		return c.storeLinks[f.Host : f.Host+1]
	case CutWorker, HoldWorker, SilenceWorker:
		if f.All {
			return c.workerLinks[f.Host]
		}
		return c.workerLinks[f.Host][f.Worker : f.Worker+1]
	case DelayWorkers:
		return c.workerLinks[f.Host]
	case CutHosts, HoldHosts, SilenceHosts:
		return []*proxytest.Proxy{c.hostLinks[f.Host][f.Other], c.hostLinks[f.Other][f.Host]}
	default:
		return c.allLinks()
	}
}

// changeSettings writes another retention of states to the settings of a host, which takes
// effect without a restart.
func (i *injector) changeSettings(host int) {
	i.mu.Lock()
	i.settingsChanges++
	status := statusRetentionSeconds + i.settingsChanges
	i.mu.Unlock()
	if err := i.cell.writeSettings(host, status); err != nil {
		logrus.WithError(err).Error("soak: settings not written")
	}
}

// changeCatalogue adds a queue, or removes the added one.
func (i *injector) changeCatalogue() {
	i.mu.Lock()
	defer i.mu.Unlock()
	last := i.queues[len(i.queues)-1]
	i.version += 1 + i.version%3
	if i.history.isAddedQueue(last.Name) {
		i.queues = i.queues[:len(i.queues)-1]
		i.putCatalogue()
		i.history.setRouteRemoved(last.Name)
		return
	}
	// The calls for added queues have no key.
	added := platformstandin.Queue{Name: fmt.Sprintf("extra%d", i.version), Attempts: maxFailedRuns, Public: len(i.organisations) > 0}
	i.queues = append(i.queues, added)
	i.putCatalogue()
	i.history.addRoute(added.Name)
}

// renameRoute replaces a route of the callers by one of another name at the same path.
func (i *injector) renameRoute(n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.version++
	i.queues = slices.Clone(i.queues)
	q := &i.queues[n]
	q.Path = cmp.Or(q.Path, q.Name)
	q.Name = fmt.Sprintf("%s-%d", q.Path, i.version)
	i.putCatalogue()
}

func (i *injector) putCatalogue() {
	content, err := platformstandin.CatalogueDocument(i.version, virtualHost, i.queues, i.organisations...)
	if err != nil {
		logrus.WithError(err).Error("soak: catalogue not written")
		return
	}
	i.cell.store.Put("op", "config", content)
}

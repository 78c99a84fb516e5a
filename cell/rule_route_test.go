package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/workload"
)

// ROUTE: a queue is moved to another service while its tasks wait.
func TestMovedQueueStartsTasksAtNewService(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	w.submit(job(id(1), "Plain", 7, nil))
	c.Assert(w.starts, qt.HasLen, 5)
	next := catalogue()
	next.Version = 2
	next.Queues[0].Service = "T"
	w.SetCatalogue(next)
	f := w.addWorker("z0", "r0")
	f.Service = "T"
	w.HandleAnnouncement(w.now, f.Worker)
	w.workers["w0"].endAll(cell.EndedDone)
	w.reportAll()
	c.Assert(w.startedOn(id(1))[5:], qt.DeepEquals, []string{"z0", "z0"})
}

// addWorkersElsewhere adds idle workers of another service and without a service.
func (w *world) addWorkersElsewhere() {
	for id, service := range map[string]string{"z0": "T", "z1": ""} {
		f := w.addWorker(id, "r0")
		f.Service = service
		w.HandleAnnouncement(w.now, f.Worker)
	}
}

// ROUTE: a queue is removed while its tasks wait. They start on the service to which it sent them, and
// on no other.
func TestRemovedQueueStartsTasksOnItsServiceOnly(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	w.submit(job(id(1), "Plain", 7, nil))
	next := catalogue()
	next.Version, next.Queues = 2, next.Queues[1:]
	w.SetCatalogue(next)
	w.addWorkersElsewhere()
	w.advance(2 * second)
	c.Assert(w.starts, qt.HasLen, 5)
	w.workers["w0"].endAll(cell.EndedDone)
	w.reportAll()
	w.advance(2 * second)
	c.Assert(w.startedOn(id(1))[5:], qt.DeepEquals, []string{"w0", "w0"})
}

// ROUTE, CONFIG: no version that the owner knows has had the queue of a job, which an earlier version of
// the program accepted.
func TestUnknownQueueStartsNothing(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	next := catalogue()
	next.Version, next.Queues = 2, next.Queues[1:]
	w.SetCatalogue(next)
	// A worker without a service must not match a queue that does not exist.
	w.addWorkersElsewhere()
	w.submit(job(id(1), "Plain", 7, nil))
	w.reportAll()
	w.advance(2 * second)
	c.Assert(w.starts, qt.HasLen, 0)
	next.Version, next.Queues = 3, catalogue().Queues
	w.SetCatalogue(next)
	w.advance(second)
	c.Assert(w.startedOn(id(1)), qt.DeepEquals, []string{"w0", "w0", "w0", "w0", "w0"})
}

// CONFIG: an older version that arrives late would restore a route that was removed.
func TestOlderCatalogueIsIgnored(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	next := catalogue()
	next.Version, next.Queues = 2, next.Queues[1:]
	w.SetCatalogue(next)
	w.SetCatalogue(catalogue())
	w.submit(job(id(1), "Plain", 1, nil))
	w.advance(second)
	c.Assert(w.starts, qt.HasLen, 0)
}

// ROUTE: the members of a gang are placed together, so that none of them is counted on its
// worker yet.
func TestMaxPerWorkerHoldsWithinAGang(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2)
	w.submit(job(id(1), "Plain", 4, func(s *workload.Step) { s.Gang, s.MaxPerWorker = true, 2 }))
	on := map[string]int{}
	for _, worker := range w.startedOn(id(1)) {
		on[worker]++
	}
	c.Assert(on, qt.DeepEquals, map[string]int{"w0": 2, "w1": 2})
}

// ROUTE: a run started by an earlier owner counts on its worker.
func TestMaxPerWorkerCountsRunsOfEarlierOwners(t *testing.T) {
	c := qt.New(t)
	earlier := newWorld(1)
	earlier.submit(job(id(1), "Plain", 3, func(s *workload.Step) { s.MaxPerWorker = 2 }))
	w := newWorld(1)
	w.now, w.workers = earlier.now, earlier.workers
	w.Restore(w.now, w.now+second, earlier.jobs[id(1)], earlier.progress[id(1)])
	w.reportAll()
	w.advance(second)
	c.Assert(w.starts, qt.HasLen, 0)
	w.endTask(earlier.starts[0].Task, cell.EndedDone)
	c.Assert(w.starts, qt.HasLen, 1)
}

// ROUTE: a worker starts again as another kind, and is heard before its new announcement is
// read. Its earlier labels say nothing of it.
func TestRebornWorkerGetsNoWorkByItsEarlierLabels(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	f := w.workers["w0"]
	earlier := f.Worker
	f.Life, f.Labels = 2, []string{"b", "r0"}
	w.now += 100 * ms
	w.reportAll()
	requires := func(s *workload.Step) { s.Requires = "a" }
	w.submit(job(id(1), "Plain", 1, requires))
	c.Assert(w.starts, qt.HasLen, 0)
	// An announcement of the earlier life may still arrive.
	w.HandleAnnouncement(w.now, earlier)
	w.step()
	c.Assert(w.starts, qt.HasLen, 0)
	w.HandleAnnouncement(w.now, f.Worker)
	w.submit(job(id(2), "Plain", 1, func(s *workload.Step) { s.Requires = "b" }))
	c.Assert(w.startedOn(id(1)), qt.HasLen, 0)
	c.Assert(w.startedOn(id(2)), qt.HasLen, 1)
}

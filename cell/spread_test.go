package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/workload"
)

// Gangs beside other work, in a cell whose workers are taken away at short notice. Placed where
// the least room is left, a gang would use as many workers as it has tasks, and end with the first
// of them that leaves.
func TestGangUsesFewWorkers(t *testing.T) {
	w := newWorld(6)
	for n := range 3 {
		w.submit(job(id(n), "Plain", 4, func(s *workload.Step) { s.MaxPerWorker = 4 }))
	}
	first := len(w.starts)
	w.submit(job(id(9), "Plain", 6, func(s *workload.Step) { s.Gang = true }))
	used := map[string]bool{}
	for _, s := range w.starts[first:] {
		used[s.Worker.ID] = true
	}
	qt.Assert(t, used, qt.HasLen, 2)
}

// Short jobs whose tasks fail now and then: with a quarter of a second for the second run of a
// task, a job misses its objective that would meet it. The first failure of a task with three
// attempts must be followed by another run at once, on another worker; later ones and those of
// tasks with two attempts must wait, so that a worker that fails every run is detected.
func TestFirstFailureIsFollowedByARunAtOnce(t *testing.T) {
	for _, test := range []struct {
		queue string
		runs  []int
	}{{"Plain", []int{2, 2}}, {"Twice", []int{1, 2}}} {
		w := newWorld(2)
		w.submit(job(id(1), test.queue, 1, nil))
		fail := func() { w.workers[w.starts[len(w.starts)-1].Worker.ID].endAll(cell.EndedFailed); w.reportAll() }
		fail()
		qt.Check(t, w.starts, qt.HasLen, test.runs[0], qt.Commentf(test.queue))
		w.advance(200 * ms)
		qt.Check(t, w.starts, qt.HasLen, test.runs[1], qt.Commentf(test.queue))
		qt.Check(t, w.starts[0].Worker.ID != w.starts[1].Worker.ID, qt.IsTrue, qt.Commentf(test.queue))
	}
}

package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// A stream of small tasks fills all workers, one ends and one comes on each every 200 ms.
// The tasks of a gang need most of a worker each, so that no worker ever has room for one
// unless it is kept from filling up again. Once the gang is due first, it starts as soon
// as enough of the small tasks have ended.
func TestGangIsNotStarvedByAStreamOfSmallTasks(t *testing.T) { gangsInAStream(t, 4, 1) }

// The same in a cell of a hundred workers, with as many gangs that wait as there are in a
// burst: each keeps its room, not the first two only.
func TestGangsAreNotStarvedByAStreamOfSmallTasks(t *testing.T) { gangsInAStream(t, 96, 4) }

// gangsInAStream plays gangs that need a large part of each worker of a share of all.
func gangsInAStream(t *testing.T, workers, gangs int) {
	const (
		// due is when the gang must start to be in time, drained when a worker is free
		// of the four small tasks that are in its way.
		due, drained = 6 * second, second
	)
	w := newWorld(workers)
	next := 0
	small := func() {
		next++
		w.submit(job(id(next), "Plain", 1, nil))
	}
	for range 5 * workers {
		small()
	}
	began := w.now
	const gang = 1_000_000
	for n := range gangs {
		w.submit(job(id(gang+n), "Plain", workers/gangs, func(s *workload.Step) {
			s.Gang, s.Size.Processors, s.Estimate = true, 8*task.Processor, 5*second
		}))
	}
	waits := func() bool {
		for n := range gangs {
			if w.states[id(gang+n)] != workload.Running {
				return true
			}
		}
		return false
	}
	for waits() {
		w.now += 200 * ms
		for _, f := range w.workers {
			small()
			if len(f.running) > 0 {
				f.end(f.running[0].Task, f.running[0].Run, cell.EndedDone)
			}
		}
		w.reportAll()
		qt.Assert(t, w.now-began <= due+drained, qt.IsTrue, qt.Commentf("a gang waits after %v", w.now-began))
	}
	t.Logf("the gangs started after %v", w.now-began)
}

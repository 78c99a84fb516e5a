package virtual_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/load"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/virtual"
)

// doubleStarter is a scheduler that starts two attempts of each task on the
// first worker reported to it, regardless of free capacity.
type doubleStarter struct{ digest *decision.DigestChanged }

func (s *doubleStarter) Apply(_ time.Time, e decision.Event) []decision.Action {
	switch e := e.(type) {
	case decision.DigestChanged:
		if s.digest == nil {
			s.digest = &e
		}
	case decision.Submitted:
		var actions []decision.Action
		for number := 1; number <= 2; number++ {
			actions = append(actions, decision.Command{
				Verb: decision.Place, Attempt: task.AttemptID{Work: e.Work.Key(), Number: number},
				Rack: s.digest.Digest.Rack, Worker: s.digest.Digest.Workers[0].ID, Size: e.Work.TaskSize(),
			})
		}
		return actions
	}
	return nil
}

func twoTaskLoad() load.Load {
	l := load.Load{Name: "Small", Seed: 1, Cell: load.AsociacionCell().WithWorkers(1), Length: time.Second}
	for i, id := range []string{"a", "b"} {
		l.Items = append(l.Items, load.Item{
			At: time.Duration(i+1) * 100 * time.Millisecond, RunTime: 10 * time.Second, Used: task.Size{Processors: 1000},
			Work: task.Work{Team: "team", ID: id, Kind: task.Batch, Tasks: 1, Size: task.Size{Processors: 6000}},
		})
	}
	return l
}

// A scheduler that starts each task twice must show in DuplicateStarts.
func TestDuplicateStartsAreCounted(t *testing.T) {
	r := virtual.Run(twoTaskLoad(), &doubleStarter{}, virtual.Options{Drain: time.Second})
	qt.Check(t, r.DuplicateStarts, qt.Equals, 1)
	qt.Check(t, r.Overcommitted, qt.Equals, 0)
	qt.Check(t, r.Classes[load.Batch].Started, qt.Equals, 1)
	qt.Check(t, r.Classes[load.Batch].Unstarted, qt.Equals, 1)
}

func TestWaitSpansArrivalToStart(t *testing.T) {
	r := virtual.Run(twoTaskLoad(), decision.New(decision.Options{Region: "centro"}), virtual.Options{Drain: time.Minute})
	qt.Check(t, r.DuplicateStarts, qt.Equals, 0)
	// Acceptance and begin may share a row; a command and a start take a
	// local delay each.
	least := virtual.DefaultWriteDelay + 2*virtual.DefaultLocalDelay
	qt.Check(t, r.Wait(load.Batch, 0) >= least, qt.IsTrue, qt.Commentf("%v", r.Wait(load.Batch, 0)))
	qt.Check(t, r.Wait(load.Batch, 100) < time.Second, qt.IsTrue)
	qt.Check(t, r.RunTime, qt.Equals, 20*time.Second)
}

package scheduler_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/forecast"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/workload"
)

// storedTable is a store that returns the same rows from all tables.
type storedTable struct {
	ledger.Store
	rows []ledger.Row
}

func (s storedTable) Rows(context.Context, string, string, string, int) (ledger.Page, error) {
	return ledger.Page{Rows: s.rows}, nil
}

func ownerWithStore(rows ...ledger.Row) *scheduler.Owner {
	o := scheduler.New(scheduler.Options{Cell: "c"}, &ledger.Ledger{}, storedTable{rows: rows}, nil, nil, nil, &scheduler.Counters{}, discardLog())
	o.ApplyCatalogue(workload.Catalogue{Version: 1, Queues: []workload.Queue{{Name: "q"}}})
	return o
}

// The owner is replaced: what it learned about the queues reaches the next owner by the store.
func TestLearnedValuesReachTheNextOwner(t *testing.T) {
	c := qt.New(t)
	learned := cell.Learned{
		Durations:      map[string]forecast.Model{"q": forecast.Model{Weight: 7, X: 1, Y: 2, XX: 3, XY: 4}.With(time.Second, 3*time.Second, 0.3)},
		Speeds:         map[string]cell.QueueSpeed{"q": {Mean: 0.5, Deviation: 0.1}},
		EligibleRatios: map[string]float64{"q": 0.25},
	}
	first := ownerWithStore()
	first.Cell().RestoreLearned(learned)
	rows, err := first.LearnedRows(time.Minute)
	c.Assert(err, qt.IsNil)
	c.Assert(rows, qt.HasLen, 1)
	again, err := first.LearnedRows(time.Minute + time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.HasLen, 0, qt.Commentf("the row is written every 2 s at most"))
	next := ownerWithStore(rows...)
	c.Assert(next.RecoverLearned(context.Background()), qt.IsNil)
	c.Assert(next.Cell().Learned(), qt.DeepEquals, learned)
}

// A row that can't be decoded must not keep the next owner from recovering.
func TestDamagedLearnedRowIsIgnored(t *testing.T) {
	c := qt.New(t)
	next := ownerWithStore(ledger.Row{Value: []byte("damaged")})
	c.Assert(next.RecoverLearned(context.Background()), qt.IsNil)
}

// The predictions are only written to the log at intervals, and the dump of the host is made by
// another goroutine: both must show a queue whose task has ended.
func TestForecastsReachLogAndDump(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	o := scheduler.New(scheduler.Options{Cell: "c"}, &ledger.Ledger{}, storedTable{}, nil, nil, nil, &scheduler.Counters{}, jsonLog(&out))
	o.ApplyCatalogue(workload.Catalogue{Version: 1, Queues: []workload.Queue{{Name: "q", Service: "S", MaxAttempts: 3}}})
	core, w := o.Cell(), workload.Worker{ID: "w", Service: "S", Life: 1, Address: "w"}
	core.HandleAnnouncement(time.Second, w)
	core.HandleReport(time.Second, time.Second, "w", cell.Report{Life: 1, Complete: true})
	core.Submit(time.Second, workload.Job{ID: "0123456789abcdef", Queue: "q", Steps: []workload.Step{{TaskCount: 1, Estimate: 2 * time.Second}}})
	core.Schedule(time.Second)
	id := workload.TaskID{StepID: workload.StepID{Job: "0123456789abcdef"}}
	core.HandleStartAnswer(time.Second, id, 1, "w", cell.Accepted)
	core.HandleReport(3*time.Second, 3*time.Second, "w", cell.Report{Life: 1, Complete: true, Ended: []cell.EndedRun{{Number: 1, Task: id, Run: 1, Outcome: cell.EndedDone}}})
	o.LogForecasts(time.Minute)
	c.Assert(o.Forecasts(), qt.HasLen, 1)
	c.Assert(o.Forecasts()[0].Ended, qt.Equals, 1)
	c.Assert(out.String(), qt.Contains, `"queue":"q"`)
	c.Assert(out.String(), qt.Contains, `"actual_s":2`)
}

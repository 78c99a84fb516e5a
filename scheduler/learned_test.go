package scheduler_test

import (
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

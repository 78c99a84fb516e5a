package ledger_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/ledger"
)

// pagedStore returns a list in two pages, between which the first row changes.
type pagedStore struct{ fakeStore }

// Rows implements ledger.Store.
func (s *pagedStore) Rows(_ context.Context, table, _, from string, _ int) (ledger.Page, error) {
	if from == "" {
		return ledger.Page{Rows: []ledger.Row{{Table: table, Key: "a", Version: 1}}, More: true, Version: 5}, nil
	}
	return ledger.Page{Rows: []ledger.Row{{Table: table, Key: "b", Version: 2}}, Version: 7}, nil
}

// A long list is read in pages, each with its own version. A row of the first page that
// changes meanwhile must be among the changes that are followed after the list.
func TestReadAllReturnsVersionOfFirstPage(t *testing.T) {
	c := qt.New(t)
	rows, version, err := ledger.ReadAll(t.Context(), &pagedStore{}, "t", "")
	c.Assert(err, qt.IsNil)
	c.Assert(rows, qt.HasLen, 2)
	c.Assert(version, qt.Equals, ledger.Version(5))
}

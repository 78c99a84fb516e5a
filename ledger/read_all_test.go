package ledger_test

import (
	"context"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

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

// limitedStore returns two rows at a time, and rejects keys that no row can have.
type limitedStore struct {
	fakeStore
	keys []string
}

// Rows implements ledger.Store.
func (s *limitedStore) Rows(_ context.Context, table, _, from string, _ int) (ledger.Page, error) {
	if len(from) > 200 {
		return ledger.Page{}, errors.New("key of more than 200 bytes")
	}
	page := ledger.Page{Version: 1}
	for _, key := range s.keys {
		if key < from {
			continue
		}
		if len(page.Rows) == 2 {
			page.More = true
			break
		}
		page.Rows = append(page.Rows, ledger.Row{Table: table, Key: key})
	}
	return page, nil
}

// A list is cut after the row of another writer whose key is as long as keys may be, or is
// followed by one that continues it with a zero byte. The list must be read to its end, or new
// workers are never found.
func TestReadAllContinuesAfterOddKeys(t *testing.T) {
	long := strings.Repeat("k", 200)
	for _, keys := range [][]string{
		{"a", long, "l", "m", "n"}, {long, long[:199] + "l", "m"}, {"a", "b", "b\x00", "b\x00\x00", "b\x01", "c"}, {"a", "b"}, {"a", "b", "c"}, {},
		{"", "\n", " ", "%", "&x=1", "+", "/", "?", "\\", "~", "\u00fc", "\uffff"},
	} {
		c := qt.New(t)
		rows, _, err := ledger.ReadAll(t.Context(), &limitedStore{keys: keys}, "t", "")
		c.Assert(err, qt.IsNil)
		read := []string{}
		for _, r := range rows {
			read = append(read, r.Key)
		}
		c.Assert(read, qt.DeepEquals, keys)
	}
}

// endlessStore returns the same page for each key.
type endlessStore struct{ fakeStore }

// Rows implements ledger.Store.
func (s *endlessStore) Rows(_ context.Context, table, _, _ string, _ int) (ledger.Page, error) {
	return ledger.Page{Rows: []ledger.Row{{Table: table, Key: "b"}, {Table: table}}, More: true, Version: 1}, nil
}

// A store repeats a page, or its last row has no key that can be read. The list must not grow
// without end.
func TestReadAllEndsIfItDoesNotAdvance(t *testing.T) {
	_, _, err := ledger.ReadAll(t.Context(), &endlessStore{}, "t", "")
	qt.Assert(t, err, qt.ErrorMatches, "reading table t: no row after .*")
}

package platformstandin_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/platformstandin"
)

// The stand-in rejects what the store rejects. Otherwise no test meets the limits of rows and
// transactions (review/1).
func TestStoreLimits(t *testing.T) {
	server := httptest.NewServer(platformstandin.NewRows().Handler())
	t.Cleanup(server.Close)
	store := platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
	rows := func(n, bytes int, key string) (list []ledger.Row) {
		for i := range n {
			list = append(list, ledger.Row{Table: "t", Part: "p", Key: fmt.Sprint(key, i), Value: make([]byte, bytes)})
		}
		return list
	}
	for _, test := range []struct {
		name     string
		writes   []ledger.Row
		rejected bool
	}{
		{"LargestRow", rows(1, 48<<10, "k"), false},
		{"RowTooLarge", rows(1, 48<<10+1, "k"), true},
		{"MostRows", rows(100, 1, "k"), false},
		{"TooManyRows", rows(101, 1, "k"), true},
		{"TransactionTooLarge", rows(20, 40<<10, "k"), true},
		{"KeyTooLong", rows(1, 1, strings.Repeat("k", 200)), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := store.Commit(context.Background(), ledger.Transaction{Writes: test.writes})
			qt.Assert(t, errors.Is(err, ledger.ErrRejected), qt.Equals, test.rejected, qt.Commentf("%v", err))
		})
	}
}

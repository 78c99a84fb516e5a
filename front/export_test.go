package front

import (
	"slices"

	"github.com/vanillaquay/vanillaquay/ledger"
)

// ListMembers returns the names of the members after the rows were read as one list, and
// after they were read one by one as changes.
func ListMembers(rows []ledger.Row) (listed, changed []string) {
	all := members{onChange: func() {}}
	all.replaceAll(rows)
	each := members{byName: map[string]member{}, onChange: func() {}}
	for _, r := range rows {
		each.applyChange(r)
	}
	return all.names(), slices.Clone(each.names())
}

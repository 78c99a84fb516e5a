package front

import (
	"slices"

	"github.com/vanillaquay/vanillaquay/ledger"
)

// ListMembers returns the names of the members in rows that are read at once, and then
// once each has come as a change.
func ListMembers(rows []ledger.Row) (listed, changed []string) {
	all := members{onChange: func() {}}
	all.replaceAll(rows)
	each := members{byName: map[string]member{}, onChange: func() {}}
	for _, r := range rows {
		each.applyChange(r)
	}
	return all.names(), slices.Clone(each.names())
}

package front

import (
	"slices"

	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/server"
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

// Limits are the limits of a process. ConnectionBytes is the memory of all connections of callers.
type Limits struct {
	Callers, Links, ConnectionBytes int
	RequestBytes                    int64
}

// LimitsOf returns the limits that follow from settings.
func LimitsOf(s platform.Settings) Limits {
	l := limitsOf(s)
	return Limits{Callers: l.Callers, Links: l.Links, ConnectionBytes: l.Callers * server.ConnectionBytes, RequestBytes: l.RequestBytes}
}

// LeastMemory returns the memory of the smallest host, in bytes, after the rows were read.
func LeastMemory(rows []ledger.Row) int64 {
	m := members{onChange: func() {}}
	m.replaceAll(rows)
	return m.leastMemory()
}

package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/vanillaquay/vanillaquay/ledger"
)

// key names a row of the table.
type key struct{ Part, Key string }

// table holds the rows that a host has read. The zero value is empty.
type table struct {
	mu   sync.Mutex
	rows map[key]*row
	// version is the version of the store up to which rows has all changes; 0 if the table has not
	// been read whole.
	version ledger.Version
	// confirmed is the latest time at which the rows were certainly those of the store.
	confirmed time.Duration
	// failed reports whether the last read from the store failed.
	failed bool
	// changed is closed at the next change; nil if nobody waits for it.
	changed chan struct{}
}

// row is a row with its compressed value.
type row struct {
	ledger.Row
	// compressed is the compressed value; nil until it is needed.
	compressed []byte
}

// add adds rows that were read together. The table has all changes up to a version with them,
// unless that is 0, and was so at a time.
func (t *table) add(rows []ledger.Row, version ledger.Version, confirmed time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows == nil {
		t.rows = map[key]*row{}
	}
	for _, r := range rows {
		k := key{r.Part, r.Key}
		if held := t.rows[k]; held == nil || held.Version < r.Version {
			t.rows[k] = &row{Row: r}
		}
	}
	t.version = max(t.version, version)
	t.confirmed, t.failed = max(t.confirmed, confirmed), false
	t.notify()
}

// fail notes that a read from the store failed.
func (t *table) fail() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed = true
}

// hasFailed reports whether the last read from the store failed.
func (t *table) hasFailed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failed
}

// notify wakes those that wait for a change. The caller holds t.mu.
func (t *table) notify() {
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}

// all returns the rows of a part, and the version up to which they have all changes.
func (t *table) all(part string) ([]ledger.Row, ledger.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []ledger.Row
	for k, r := range t.rows {
		if k.Part == part && !r.Deleted {
			rows = append(rows, r.Row)
		}
	}
	return rows, t.version
}

// wholeVersion returns the version up to which the table has all changes; 0 if it has not been read
// whole.
func (t *table) wholeVersion() ledger.Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// versions returns the version of each row.
func (t *table) versions() map[key]ledger.Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	versions := make(map[key]ledger.Version, len(t.rows))
	for k, r := range t.rows {
		versions[k] = r.Version
	}
	return versions
}

// news is what a host lacks of a table.
type news struct {
	rows      []*row
	version   ledger.Version
	confirmed time.Duration
	// current reports whether the table has been read whole, and is confirmed as recently as was
	// asked for.
	current bool
}

// since returns the rows that are newer than the known versions, and a channel that is closed at the
// next change. The table is current if it was confirmed after a time.
func (t *table) since(known map[key]ledger.Version, oldest time.Duration) (news, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := news{version: t.version, confirmed: t.confirmed, current: t.version > 0 && !t.failed && t.confirmed >= oldest}
	for k, r := range t.rows {
		if t.version > 0 && r.Version > known[k] {
			n.rows = append(n.rows, r)
		}
	}
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return n, t.changed
}

// await waits until there are rows that are newer than the known versions, at most until a wait has
// passed or the context ends. It reports whether there are, or the table is current.
func (t *table) await(ctx context.Context, known map[key]ledger.Version, wait time.Duration, oldest func() time.Duration) (news, bool) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		n, changed := t.since(known, oldest())
		if len(n.rows) > 0 {
			return n, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return n, n.current
		case <-end.C:
			n, _ = t.since(known, oldest())
			return n, len(n.rows) > 0 || n.current
		}
	}
}

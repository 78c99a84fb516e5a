package ledger

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/timer"
)

// Tables of the system. Rows of a cell have its name as their part.
const (
	// HeadTable holds a row for each cell that names its owner.
	HeadTable = "cell"
	// LeaseTable holds a row for each cell that its owner renews.
	LeaseTable = "lease"
	// JobTable, ProgressTable and FinishedTable hold pages of many jobs, or of their changes.
	JobTable      = "job"
	ProgressTable = "progress"
	FinishedTable = "finished"
	// WaveTable holds a row for each wave of upkeep.
	WaveTable = "wave"
	// MemberTable holds a row for each entry host.
	MemberTable = "member"
)

const (
	headKey = "head"
	// LeaseKey is the key of a cell's lease.
	LeaseKey = "lease"
	// firstRetry and longestRetry bound the pause before a transaction is tried
	// again; the store takes 10 ms for one.
	firstRetry   = 20 * time.Millisecond
	longestRetry = 200 * time.Millisecond
	// maxEntries is the most rows of a transaction; the store takes 100, of which
	// head and lease are three.
	maxEntries = 96
	// maxBytes bounds the values of a transaction; the store takes 1 MB in base64.
	maxBytes = 600 << 10
	pageSize = 500
	// renewal is the least age of a lease that is written again. Members follow
	// the lease, so that each renewal costs them a call.
	renewal = 300 * time.Millisecond
)

// head is the row that each transaction of an owner rewrites.
type head struct {
	Owner string `cbor:"1,keyasint"`
	// Transaction is unique, so that an owner finds out whether a transaction
	// without an answer has taken effect.
	Transaction string `cbor:"2,keyasint"`
	// Fence is the owner's fencing token; 0 is that of an earlier version, which didn't
	// write it.
	Fence int64 `cbor:"3,keyasint,omitempty"`
}

// Lease is the row that tells who owns a cell and that the owner lives.
type Lease struct {
	// Owner is a member, or "" if the last one has resigned.
	Owner string `cbor:"1,keyasint"`
	// Fence is the owner's fencing token.
	Fence int64 `cbor:"2,keyasint"`
	// Renewal rises with each renewal.
	Renewal int64 `cbor:"3,keyasint"`
}

// Change is what belongs together in the ledger.
type Change struct {
	Writes  []Row
	Removes []Row
}

func (c Change) entries() int { return len(c.Writes) + len(c.Removes) }

func (c Change) bytes() int {
	n := 0
	for _, r := range c.Writes {
		n += len(r.Value)
	}
	return n
}

// Ledger writes the rows of one cell on behalf of one owner. Use Take to make one.
type Ledger struct {
	store Store
	cell  string
	owner string
	// incarnation makes the numbers of transactions unique, with the fencing token: a
	// process may take the cell several times.
	incarnation string
	// version is that of the head row as this owner last wrote it.
	version Version
	fence   int64
	count   int64
	renewal int64
	// renewed is when the lease was last written.
	renewed time.Duration
	// committed is when the store last confirmed a transaction, in nanoseconds.
	committed atomic.Int64
	// patience is how long the store may take for the next transaction.
	patience patience
}

// Acquire makes the named member the owner of a cell after an earlier tenure, unless the cell
// is in a later one by now, also of the same member; the error is then ErrNotOwner. What an
// earlier process of the named member has is always taken.
func Acquire(ctx context.Context, store Store, cell, owner, incarnation string, earlier Lease) (*Ledger, error) {
	page, err := store.Rows(ctx, HeadTable, cell, headKey, 1)
	if err != nil {
		return nil, errors.Annotatef(err, "head of cell %s", cell)
	}
	l := &Ledger{store: store, cell: cell, owner: owner, incarnation: incarnation}
	h, version, err := headOf(page.Rows)
	if err != nil {
		return nil, errors.Annotatef(err, "cell %s", cell)
	}
	if h.Owner != "" && h.Owner != owner && (h.Owner != earlier.Owner || h.Fence > earlier.Fence) {
		return nil, errors.Annotatef(ErrNotOwner, "cell %s was taken by %s", cell, h.Owner)
	}
	l.version = version
	// The head row has a higher version after each transaction, so that this is more
	// than any earlier owner's token and less than any later one's.
	l.fence = int64(l.version) + 1
	return l, errors.Annotatef(l.commit(ctx, owner, nil), "taking cell %s", cell)
}

// LastCommit returns when the store last confirmed a transaction of this owner. It is safe
// for concurrent use.
func (l *Ledger) LastCommit() time.Duration { return time.Duration(l.committed.Load()) }

// Fence returns the fencing token of this owner; it is higher than any earlier
// one's.
func (l *Ledger) Fence() int64 { return l.fence }

// Append records changes, and renews the lease. It tries until the changes are
// recorded, the context ends, or the cell is lost.
func (l *Ledger) Append(ctx context.Context, changes []Change) error {
	for {
		n := batch(changes)
		if err := l.commit(ctx, l.owner, changes[:n]); err != nil {
			return err
		}
		if changes = changes[n:]; len(changes) == 0 {
			return nil
		}
	}
}

// Resign records changes and gives the cell up, for another member to take.
func (l *Ledger) Resign(ctx context.Context, changes []Change) error {
	n := 0
	for batch(changes[n:]) < len(changes)-n {
		size := batch(changes[n:])
		if err := l.commit(ctx, l.owner, changes[n:n+size]); err != nil {
			return err
		}
		n += size
	}
	return errors.Annotatef(l.commit(ctx, "", changes[n:]), "resigning cell %s", l.cell)
}

// batch returns how many changes fit one transaction.
func batch(changes []Change) int {
	entries, size := 0, 0
	for i, c := range changes {
		entries += c.entries()
		size += c.bytes()
		if i > 0 && (entries > maxEntries || size > maxBytes) {
			return i
		}
	}
	return len(changes)
}

// commit makes one transaction and settles its outcome. A copy of one whose answer is
// lost settles it: either takes effect, or the condition is spent.
func (l *Ledger) commit(ctx context.Context, owner string, changes []Change) error {
	t, number, err := l.transaction(owner, changes)
	if err != nil {
		return err
	}
	pause := firstRetry
	for {
		version, err := l.try(ctx, t, number)
		if err == nil {
			l.confirmed(version)
			return nil
		}
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			return l.settle(conflict.Rows, number)
		}
		if errors.Is(err, ErrRejected) {
			return err
		}
		if !timer.Sleep(ctx, pause/2+rand.N(pause)) {
			return errors.Annotate(err, "given up")
		}
		pause = min(longestRetry, 2*pause)
	}
}

// settle finds out from the head row whether a transaction took effect earlier.
func (l *Ledger) settle(rows []Row, number string) error {
	version, ok, err := written(rows, number)
	if err != nil {
		return err
	}
	if !ok {
		return ErrNotOwner
	}
	l.confirmed(version)
	return nil
}

// confirmed notes a transaction that took effect, by the version of the head row.
func (l *Ledger) confirmed(version Version) {
	l.version = version
	l.committed.Store(int64(clock.Now()))
}

// written returns the version of the head row if a transaction has written it.
func written(rows []Row, number string) (Version, bool, error) {
	h, version, err := headOf(rows)
	return version, h.Transaction == number, err
}

// headOf returns the head row with its version; both are zero if there is none.
func headOf(rows []Row) (head, Version, error) {
	for _, r := range rows {
		if r.Table != HeadTable || r.Key != headKey {
			continue
		}
		var h head
		if err := codec.Unmarshal(r.Value, &h); err != nil {
			return head{}, 0, errors.Annotate(err, "head")
		}
		return h, r.Version, nil
	}
	return head{}, 0, nil
}

func (l *Ledger) transaction(owner string, changes []Change) (Transaction, string, error) {
	l.count++
	number := l.incarnation + "." + strconv.FormatInt(l.fence, 10) + "." + strconv.FormatInt(l.count, 10)
	headValue, err := codec.Marshal(head{Owner: owner, Transaction: number, Fence: l.fence})
	if err != nil {
		return Transaction{}, "", errors.Trace(err)
	}
	t := Transaction{
		Expected: []Row{{Table: HeadTable, Part: l.cell, Key: headKey, Version: l.version}},
		Writes:   []Row{{Table: HeadTable, Part: l.cell, Key: headKey, Value: headValue}},
	}
	if now := clock.Now(); owner == "" || now-l.renewed >= renewal || l.renewed == 0 {
		l.renewed = now
		l.renewal++
		leaseValue, err := codec.Marshal(Lease{Owner: owner, Fence: l.fence, Renewal: l.renewal})
		if err != nil {
			return Transaction{}, "", errors.Trace(err)
		}
		t.Writes = append(t.Writes, Row{Table: LeaseTable, Part: l.cell, Key: LeaseKey, Value: leaseValue})
	}
	for _, c := range changes {
		t.Writes = append(t.Writes, c.Writes...)
		t.Removes = append(t.Removes, c.Removes...)
	}
	return t, number, nil
}

// ReadAll returns all rows of a cell's table, and the version of the store as of the first page:
// what changes until the last one has a later version.
func ReadAll(ctx context.Context, store Store, table, part string) ([]Row, Version, error) {
	var rows []Row
	var version Version
	from := ""
	for {
		page, err := store.Rows(ctx, table, part, from, pageSize)
		if err != nil {
			return nil, 0, errors.Annotatef(err, "table %s", table)
		}
		if from == "" {
			version = page.Version
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return rows, version, nil
		}
		// The first key after the last one.
		from = page.Rows[len(page.Rows)-1].Key + "\x01"
	}
}

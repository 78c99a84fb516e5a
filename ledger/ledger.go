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
	// HeadTable holds one row per cell, which names its owner.
	HeadTable = "cell"
	// LeaseTable holds one row per cell, which its owner renews.
	LeaseTable = "lease"
	// JobTable, ProgressTable and FinishedTable hold pages with the data of many jobs.
	JobTable      = "job"
	ProgressTable = "progress"
	FinishedTable = "finished"
	// WaveTable holds one row per wave of upkeep.
	WaveTable = "wave"
	// PolicyTable holds a row for each queue with stored jobs, by name, with its policy.
	PolicyTable = "policy"
	// LearnedTable holds one row per cell, with what its owners have learned about queues.
	LearnedTable = "learned"
	// MemberTable holds one row per entry host.
	MemberTable = "member"
)

const (
	headKey = "head"
	// LeaseKey is the key of the lease row of a cell.
	LeaseKey = "lease"
	// minRetryPause and maxRetryPause bound the pause before a transaction is retried;
	// the store usually needs 10 ms for one.
	minRetryPause = 20 * time.Millisecond
	maxRetryPause = 200 * time.Millisecond
	// maxRows bounds the rows that changes add to a transaction. The store accepts 100,
	// of which head and lease use three.
	maxRows = 96
	// maxValueBytes bounds the total size of the values in a transaction. The store
	// accepts 1 MB after base64 encoding.
	maxValueBytes = 600 << 10
	// pageSize is the number of rows that ReadAll requests at once.
	pageSize = 500
	// minRenewalInterval is the minimum interval between two writes of the lease. Members
	// follow the lease, so that each renewal costs each of them a call.
	minRenewalInterval = 300 * time.Millisecond
)

// head is the head row, which every transaction of an owner rewrites.
type head struct {
	Owner string `cbor:"1,keyasint"`
	// Transaction is the unique ID of the transaction that wrote the row. By it an owner
	// finds out whether a transaction without an answer has taken effect.
	Transaction string `cbor:"2,keyasint"`
	// Fence is the owner's fencing token; 0 if the row was written by an earlier version,
	// which had none.
	Fence int64 `cbor:"3,keyasint,omitempty"`
}

// Lease is the row that names the owner of a cell and shows that the owner is alive.
type Lease struct {
	// Owner is a member, or "" if the last owner has resigned.
	Owner string `cbor:"1,keyasint"`
	// Fence is the owner's fencing token.
	Fence int64 `cbor:"2,keyasint"`
	// Renewal increases with each renewal.
	Renewal int64 `cbor:"3,keyasint"`
}

// Change is a set of rows that must be written and removed in one transaction.
type Change struct {
	Writes  []Row
	Removes []Row
}

func (c Change) rowCount() int { return len(c.Writes) + len(c.Removes) }

func (c Change) valueBytes() int {
	n := 0
	for _, r := range c.Writes {
		n += len(r.Value)
	}
	return n
}

// Ledger writes the rows of one cell on behalf of one owner. Use Acquire to create one.
type Ledger struct {
	store Store
	cell  string
	owner string
	// now is the clock, which includes suspensions.
	now func() time.Duration
	// incarnation and the fencing token make transaction IDs unique; a process may
	// acquire the cell several times.
	incarnation string
	// version is the version of the head row as last written by this owner.
	version          Version
	fence            int64
	transactionCount int64
	renewalCount     int64
	// lastRenewal is when the lease was last written.
	lastRenewal time.Duration
	// lastCommit is when the store last confirmed a transaction, in nanoseconds.
	lastCommit atomic.Int64
	// ownedAt is when the last confirmed transaction was first sent, in nanoseconds.
	ownedAt atomic.Int64
	// refusedSince is since when the store has answered that it did not carry out the
	// transaction in flight, in nanoseconds; 0 if its last answer was another one.
	refusedSince atomic.Int64
	// timeout is how long the store may take to answer the next transaction before its
	// outcome is checked.
	timeout adaptiveTimeout
}

// Acquire makes the named member the owner of a cell, succeeding the earlier tenure. The
// error is ErrNotOwner if another member has the cell in a different or later tenure. A
// cell of the named member itself, held by an earlier process, can always be acquired.
func Acquire(ctx context.Context, store Store, cell, owner, incarnation string, earlier Lease) (*Ledger, error) {
	return acquire(ctx, clock.Now, store, cell, owner, incarnation, earlier)
}

func acquire(ctx context.Context, now func() time.Duration, store Store, cell, owner, incarnation string, earlier Lease) (*Ledger, error) {
	page, err := store.Rows(ctx, HeadTable, cell, headKey, 1)
	if err != nil {
		return nil, errors.Annotatef(err, "reading head row of cell %s", cell)
	}
	l := &Ledger{store: store, cell: cell, owner: owner, incarnation: incarnation, now: now}
	h, version, err := decodeHead(page.Rows)
	if err != nil {
		return nil, errors.Annotatef(err, "cell %s", cell)
	}
	if h.Owner != "" && h.Owner != owner && (h.Owner != earlier.Owner || h.Fence > earlier.Fence) {
		return nil, errors.Annotatef(ErrNotOwner, "cell %s was acquired by %s", cell, h.Owner)
	}
	l.version = version
	// The version of the head row increases with each transaction, so that this token is
	// higher than that of any earlier owner and lower than that of any later one.
	l.fence = int64(l.version) + 1
	return l, errors.Annotatef(l.commit(ctx, owner, nil), "acquiring cell %s", cell)
}

// LastCommit returns when the store last confirmed a transaction of this owner. It is
// safe for concurrent use.
func (l *Ledger) LastCommit() time.Duration { return time.Duration(l.lastCommit.Load()) }

// OwnedAt returns a time at which this owner certainly had the cell: when the last confirmed
// transaction was first sent. The answer may have arrived much later, and another owner may
// have the cell since. It is safe for concurrent use.
func (l *Ledger) OwnedAt() time.Duration { return time.Duration(l.ownedAt.Load()) }

// Fence returns the fencing token of this owner, which is higher than that of any earlier
// owner.
func (l *Ledger) Fence() int64 { return l.fence }

// Append records changes and renews the lease. It retries until the changes are recorded,
// the context ends, or the cell is lost. If the store rejects some of the changes for good, the
// others are recorded all the same, and the error is a *RejectedError.
func (l *Ledger) Append(ctx context.Context, changes []Change) error {
	var rejected []Change
	for {
		n := batchLength(changes)
		some, err := l.commitBatch(ctx, changes[:n])
		if err != nil {
			return err
		}
		rejected = append(rejected, some...)
		if changes = changes[n:]; len(changes) == 0 {
			return rejectedError(rejected)
		}
	}
}

// Resign records changes and releases the cell, so that another member can acquire it. Changes
// that the store rejects are handled as by Append.
func (l *Ledger) Resign(ctx context.Context, changes []Change) error {
	var rejected []Change
	for batchLength(changes) < len(changes) {
		n := batchLength(changes)
		some, err := l.commitBatch(ctx, changes[:n])
		if err != nil {
			return err
		}
		rejected, changes = append(rejected, some...), changes[n:]
	}
	err := l.commit(ctx, "", changes)
	if errors.Is(err, ErrRejected) && len(changes) > 0 {
		some, appendErr := l.commitBatch(ctx, changes)
		if appendErr != nil {
			return errors.Annotatef(appendErr, "releasing cell %s", l.cell)
		}
		rejected = append(rejected, some...)
		err = l.commit(ctx, "", nil)
	}
	if err != nil {
		return errors.Annotatef(err, "releasing cell %s", l.cell)
	}
	return rejectedError(rejected)
}

// commitBatch records changes that fit one transaction. If the store rejects it, the changes
// are recorded in smaller transactions, and those that are rejected by themselves are returned.
func (l *Ledger) commitBatch(ctx context.Context, changes []Change) (rejected []Change, err error) {
	err = l.commit(ctx, l.owner, changes)
	switch {
	case !errors.Is(err, ErrRejected) || len(changes) == 0:
		return nil, err
	case len(changes) == 1:
		// If the store rejects a renewal too, the change is not the cause.
		return changes, l.commit(ctx, l.owner, nil)
	}
	for _, half := range [][]Change{changes[:len(changes)/2], changes[len(changes)/2:]} {
		some, err := l.commitBatch(ctx, half)
		if err != nil {
			return nil, err
		}
		rejected = append(rejected, some...)
	}
	return rejected, nil
}

// batchLength returns how many of the changes fit one transaction; at least one if there
// are any.
func batchLength(changes []Change) int {
	rows, size := 0, 0
	for i, c := range changes {
		rows += c.rowCount()
		size += c.valueBytes()
		if i > 0 && (rows > maxRows || size > maxValueBytes) {
			return i
		}
	}
	return len(changes)
}

// commit executes one transaction, and retries it until its outcome is known or the
// context ends. A retry of a transaction whose answer was lost is safe: if the first copy
// took effect, the condition on the head row no longer holds.
func (l *Ledger) commit(ctx context.Context, owner string, changes []Change) error {
	t, id, err := l.newTransaction(owner, changes)
	if err != nil {
		return err
	}
	pause := minRetryPause
	begun := l.now()
	for {
		version, err := l.tryCommit(ctx, t, id)
		l.noteRefusal(errors.Is(err, ErrUnavailable))
		if err == nil {
			l.confirm(begun, version)
			return nil
		}
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			return l.resolveConflict(begun, conflict.Rows, id)
		}
		if errors.Is(err, ErrRejected) {
			return err
		}
		if errors.Is(err, errAnswerLost) {
			// The store has just answered.
			pause = minRetryPause
		}
		if !timer.Sleep(ctx, pause/2+rand.N(pause)) {
			return errors.Annotate(err, "context ended before the commit was confirmed")
		}
		pause = min(maxRetryPause, 2*pause)
	}
}

// noteRefusal notes whether the store has refused to carry out a transaction.
func (l *Ledger) noteRefusal(refused bool) {
	if !refused {
		l.refusedSince.Store(0)
		return
	}
	l.refusedSince.CompareAndSwap(0, int64(l.now()))
}

// RefusedSince returns since when the store has refused each try of the transaction in flight,
// or false if it did not refuse the last one.
func (l *Ledger) RefusedSince() (since time.Duration, ok bool) {
	since = time.Duration(l.refusedSince.Load())
	return since, since != 0
}

// resolveConflict finds out from the head row whether an earlier copy of the transaction
// took effect. The first copy was sent at begun.
func (l *Ledger) resolveConflict(begun time.Duration, rows []Row, id string) error {
	version, ok, err := committedVersion(rows, id)
	if err != nil {
		return err
	}
	if !ok {
		return ErrNotOwner
	}
	l.confirm(begun, version)
	return nil
}

// confirm notes that a transaction, of which the first copy was sent at begun, took effect
// with the given version of the head row.
func (l *Ledger) confirm(begun time.Duration, version Version) {
	l.version = version
	l.ownedAt.Store(int64(begun))
	l.lastCommit.Store(int64(l.now()))
}

// committedVersion returns the version of the head row, and reports whether the given
// transaction wrote it.
func committedVersion(rows []Row, id string) (Version, bool, error) {
	h, version, err := decodeHead(rows)
	return version, h.Transaction == id, err
}

// decodeHead returns the head row and its version; both are zero if there is none.
func decodeHead(rows []Row) (head, Version, error) {
	for _, r := range rows {
		if r.Table != HeadTable || r.Key != headKey {
			continue
		}
		var h head
		if err := codec.Unmarshal(r.Value, &h); err != nil {
			return head{}, 0, errors.Annotate(err, "decoding head row")
		}
		return h, r.Version, nil
	}
	return head{}, 0, nil
}

// newTransaction returns a transaction for changes, with its ID. It includes the lease if
// a renewal is due or the owner acquires or releases the cell.
func (l *Ledger) newTransaction(owner string, changes []Change) (Transaction, string, error) {
	l.transactionCount++
	id := l.incarnation + "." + strconv.FormatInt(l.fence, 10) + "." + strconv.FormatInt(l.transactionCount, 10)
	headValue, err := codec.Marshal(head{Owner: owner, Transaction: id, Fence: l.fence})
	if err != nil {
		return Transaction{}, "", errors.Trace(err)
	}
	t := Transaction{
		Expected: []Row{{Table: HeadTable, Part: l.cell, Key: headKey, Version: l.version}},
		Writes:   []Row{{Table: HeadTable, Part: l.cell, Key: headKey, Value: headValue}},
	}
	if now := l.now(); owner == "" || now-l.lastRenewal >= minRenewalInterval || l.lastRenewal == 0 {
		l.lastRenewal = now
		l.renewalCount++
		leaseValue, err := codec.Marshal(Lease{Owner: owner, Fence: l.fence, Renewal: l.renewalCount})
		if err != nil {
			return Transaction{}, "", errors.Trace(err)
		}
		t.Writes = append(t.Writes, Row{Table: LeaseTable, Part: l.cell, Key: LeaseKey, Value: leaseValue})
	}
	for _, c := range changes {
		t.Writes = append(t.Writes, c.Writes...)
		t.Removes = append(t.Removes, c.Removes...)
	}
	return t, id, nil
}

// ReadAll returns all rows of one part of a table, and the version of the store as of the
// first page. A row that changes while later pages are read has a higher version.
func ReadAll(ctx context.Context, store Store, table, part string) ([]Row, Version, error) {
	p, err := readAll(ctx, store, table, part)
	return p.Rows, p.Version, err
}

// readAll is like ReadAll, and returns the source of the first page too.
func readAll(ctx context.Context, store Store, table, part string) (Page, error) {
	var all Page
	from := ""
	for {
		page, err := store.Rows(ctx, table, part, from, pageSize)
		if err != nil {
			return Page{}, errors.Annotatef(err, "reading table %s", table)
		}
		if from == "" {
			all.Version, all.Source = page.Version, page.Source
		}
		added := page.Rows
		for len(added) > 0 && from != "" && added[0].Key <= from {
			added = added[1:]
		}
		all.Rows = append(all.Rows, added...)
		if !page.More || len(page.Rows) == 0 {
			return all, nil
		}
		if len(added) == 0 || added[len(added)-1].Key <= from {
			return Page{}, errors.Errorf("reading table %s: no row after %q", table, from)
		}
		// The last key is read again: one that follows it may be longer than keys may be.
		from = added[len(added)-1].Key
	}
}

package ledger

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
)

// Version is the number of a transaction of the store. Versions only increase. Zero
// stands for a row that does not exist.
type Version int64

// Row is one row of a table.
type Row struct {
	Table, Part, Key string
	Value            []byte
	Version          Version
	// Deleted reports whether a row of a feed has been removed.
	Deleted bool
}

// Transaction is applied atomically.
type Transaction struct {
	// Expected holds rows with the versions that they must have.
	Expected []Row
	Writes   []Row
	Removes  []Row
}

// Page is a part of the rows of a table.
type Page struct {
	Rows []Row
	// More reports whether further rows follow.
	More bool
	// Version is the latest version of the store.
	Version Version
	// Source tells how many hosts read such a page over the same links.
	Source Source
}

// Source tells where a page was read.
type Source int

// Sources of a page. The zero value is the costliest for links that hosts share.
const (
	// FromStore is the store, from which other hosts read as well.
	FromStore Source = iota
	// FromStoreForRegion is the store, from which this host reads for others of its region.
	FromStoreForRegion
	// FromHost is another host of the region.
	FromHost
)

const (
	// ErrUnavailable means that the store did not carry out the request.
	ErrUnavailable = errors.ConstError("store unavailable: request not carried out")
	// ErrHistoryDropped means that a feed cannot continue from its version, because the
	// store has dropped the changes since, or they can't be read.
	ErrHistoryDropped = errors.ConstError("store has dropped the history of changes")
	// ErrRejected means that the store will never accept the transaction.
	ErrRejected = errors.ConstError("store rejected the transaction")
	// ErrNotOwner means that another owner has the cell.
	ErrNotOwner = errors.ConstError("another owner has the cell")
)

// ConflictError is the error of a transaction that failed because a row did not have its
// expected version.
type ConflictError struct {
	// Rows holds the current state of the expected rows.
	Rows []Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("transaction conflict on %d expected rows", len(e.Rows))
}

// RejectedError is the error of changes that the store rejects for good. All other changes of
// the same call are recorded.
type RejectedError struct{ Changes []Change }

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("store rejected %d changes", len(e.Changes))
}

// rejectedError returns a *RejectedError for the given changes, or nil without any.
func rejectedError(changes []Change) error {
	if len(changes) == 0 {
		return nil
	}
	return &RejectedError{Changes: changes}
}

// Store is the platform's table.
type Store interface {
	// Commit executes a transaction and returns its version. The error is a
	// *ConflictError, or satisfies ErrUnavailable or ErrRejected. After any other error
	// the transaction may still take effect as long as its condition holds.
	Commit(ctx context.Context, t Transaction) (Version, error)
	// Rows returns up to limit rows in key order, starting at the key from.
	Rows(ctx context.Context, table, part, from string, limit int) (Page, error)
	// Feed returns the rows of a table that changed after a version, and waits up to wait
	// for a change. The error may satisfy ErrHistoryDropped.
	Feed(ctx context.Context, table string, after Version, wait time.Duration) (Page, error)
}

package ledger

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
)

// Version is the number of a transaction of the store; it only rises. Zero stands
// for a row that does not exist.
type Version int64

// Row is one row of a table.
type Row struct {
	Table, Part, Key string
	Value            []byte
	Version          Version
	// Deleted marks a row of a feed that is gone.
	Deleted bool
}

// Transaction is carried out whole or not at all.
type Transaction struct {
	// Expected holds rows with the version that each must have.
	Expected []Row
	Writes   []Row
	Removes  []Row
}

// Page is a part of a table.
type Page struct {
	Rows []Row
	// More tells that the range goes on.
	More bool
	// Version is the newest one of the store.
	Version Version
}

const (
	// ErrUnavailable tells that the store did nothing.
	ErrUnavailable = errors.ConstError("store did nothing")
	// ErrHistoryDropped tells that a feed can't go on from its version.
	ErrHistoryDropped = errors.ConstError("history is gone")
	// ErrRejected tells that the store will never take a transaction.
	ErrRejected = errors.ConstError("store rejected the transaction")
	// ErrNotOwner tells that another owner has the cell.
	ErrNotOwner = errors.ConstError("another owner has the cell")
)

// ConflictError tells that a row did not have the expected version.
type ConflictError struct {
	// Rows are the expected rows as they are.
	Rows []Row
}

// Error implements error.
func (e *ConflictError) Error() string { return fmt.Sprintf("conflict with %d rows", len(e.Rows)) }

// Store is the platform's table.
type Store interface {
	// Commit carries out a transaction and returns its version. The error is a
	// *ConflictError, or satisfies ErrUnavailable or ErrRejected; after any other
	// the transaction may take effect as long as its condition holds.
	Commit(ctx context.Context, t Transaction) (Version, error)
	// Rows returns rows with keys from the given one on.
	Rows(ctx context.Context, table, part, from string, limit int) (Page, error)
	// Feed returns the rows of a table that have changed after a version, and
	// waits for one. The error may satisfy ErrHistoryDropped.
	Feed(ctx context.Context, table string, after Version, wait time.Duration) (Page, error)
}

// Package wal keeps the entries of a partition in rows of the platform's
// table. Rows are keyed by partition and sequence and are only ever written
// where no row is, so that the table itself fences an owner that was replaced:
// the new owner has written at the next sequence.
package wal

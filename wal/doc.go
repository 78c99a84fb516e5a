// Package wal stores the write-ahead log (the journal) of a partition in rows of
// the platform's table. Rows are keyed by partition and sequence number and are
// only ever inserted, never overwritten. The table itself therefore fences a
// replaced owner: the new owner has already inserted a row at the next sequence
// number, so the old owner's insert fails.
package wal

// Package ledger stores the durable state of a cell in the platform's table, and ensures
// that only one owner writes it. Every transaction is conditional on the cell's head row
// and rewrites it, so that neither an earlier owner nor a transaction whose answer was
// lost can take effect later.
package ledger

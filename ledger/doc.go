// Package ledger keeps what must last of a cell in the platform's table, and makes
// sure that only one owner writes it. Every transaction expects and rewrites the
// cell's head row, so that neither an earlier owner nor a transaction whose answer
// was lost can have an effect later.
package ledger

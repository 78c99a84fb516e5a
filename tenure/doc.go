// Package tenure decides when an entry host takes the cell over from its owner. A takeover
// is always safe, as the ledger and the workers reject the orders of an earlier owner by
// its fencing token; a needless one only costs a pause. The package does no I/O and reads
// no clock.
package tenure

// Package tenure decides when an entry host should take a cell from its owner. It
// is pure. Taking a cell is always safe, as the ledger and the workers are fenced;
// a needless one only costs a pause.
package tenure

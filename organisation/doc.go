// Package organisation holds the rules by which organisations share a cell: what each may run at
// once, and which of its jobs exceed its share. It is pure: the caller passes in the time.
package organisation

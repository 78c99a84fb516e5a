// Package mirror lets the hosts of a region read a table of the store once, rather than each for
// itself over the link that they share. The hosts of the region form a tree: its root follows the
// table in the store, and each other host asks the host above it, which answers as soon as it has a
// row that the other one lacks. Rows travel compressed.
//
// The mirror decides nothing: a row is that of the store, with its version, and a host tells how old
// its knowledge is. A host whose neighbours above do not answer, or know nothing recent, reads from
// the store itself. So a host that reaches the store depends on no other one.
package mirror

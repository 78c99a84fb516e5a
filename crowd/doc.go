// Package crowd has tests in which a small, fixed set of hostile clients attacks one entry host,
// which runs as a process of its own on loopback addresses: vanillaquay front, or vanillaquay serve
// in the tests whose names begin with TestEntry. They check that the process lives, that its memory
// and its open descriptors stay within its settings, and that one ordinary request is answered
// afterwards. The clients and the bounds were fixed on code that failed them and must not be
// changed.
//
// The tests measure the memory of a process, so .ci/test runs this package alone.
package crowd

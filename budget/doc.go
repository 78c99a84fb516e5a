// Package budget bounds the memory that the requests of a process hold together. Each request
// has a charge, which grows as its bytes arrive and lasts until it ends. Under pressure the
// requests that make the least progress are dropped, so that clients which leave requests
// unfinished keep no memory from others. The package does no I/O and reads no clock.
package budget

// Package partition determines which partition holds a piece of work and which member owns
// a partition or a rack. Rendezvous hashing names the preferred owner; a row of the
// platform's table, changed by compare-and-set, names the actual one.
package partition

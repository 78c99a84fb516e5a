// Package demo shows a whole cell at work in one process on loopback: entry
// hosts, stand-ins for the platform and the workers, callers with work of every
// kind, and midway the stop of an entry host and the loss of a worker. It then
// checks the guarantees of the cell.
package demo

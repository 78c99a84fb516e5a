// Package demo shows a whole cell at work in one process on loopback: entry
// hosts, stand-ins for the platform and the workers, callers with work of every
// kind, and the loss of an entry host and of a worker midway. It then checks
// the guarantees of the cell.
package demo

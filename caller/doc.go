// Package caller serves the callers of the cell over HTTP: they submit work, query
// its state and cancel it.
package caller

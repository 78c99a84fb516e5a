// Package cell makes the scheduling decisions for one cell: which task runs on which worker
// and when, and how the end of each run affects its job. It is pure: the caller passes in
// events with the current time, and takes out actions, record changes and log entries. It has
// no clock, no goroutines and no I/O.
//
// Start reading with event.go for the input and action.go for the output; schedule.go,
// place.go and gang.go hold the placement decisions, and run.go the life cycle of one run on
// one worker.
package cell

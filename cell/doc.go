// Package cell decides for the workers and jobs of one cell: which task runs
// where, when, and what becomes of it. It is pure: events come in with the time,
// and actions, changes to record and notes for the log go out. It has no clock,
// no goroutines and no I/O.
//
// A newcomer may read event.go for what comes in, action.go for what goes out, and
// then schedule.go, place.go and gang.go for the decisions; run.go holds the life
// of one run on one worker.
package cell

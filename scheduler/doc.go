// Package scheduler runs the scheduling of a cell while this host owns it. It feeds the
// cell with calls, worker reports and answers, records the resulting changes, and only
// then sends the orders and replies that depend on them.
package scheduler

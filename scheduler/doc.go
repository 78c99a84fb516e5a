// Package scheduler runs the decisions of a cell while this host owns it: it feeds
// the cell with calls, reports and answers, records what the cell changes, and only
// then lets orders and replies out.
package scheduler

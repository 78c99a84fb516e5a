// Package lines writes log lines without ever blocking whoever logs: lines wait in
// a bounded ring, and those without room are dropped and counted.
package lines

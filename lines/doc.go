// Package lines writes log lines without ever blocking the code that logs: lines wait in a
// bounded queue, and those that find it full are dropped and counted.
package lines

// Package clock tells time that goes on while the machine is suspended. Leases
// and deadlines of this process are read on it, never on Go's monotonic clock,
// which stands still during a suspension.
package clock

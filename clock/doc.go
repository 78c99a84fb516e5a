// Package clock provides a monotonic clock that continues to run while the machine is
// suspended. Leases and deadlines of this process use it rather than Go's monotonic
// clock, which stops during a suspension.
package clock

// Package pace decides at which share of their full rate the fillers of a worker may run,
// so that the services on it meet their latency targets. The package does no I/O and reads
// no clock.
package pace

// Package ring provides the bounded queues through which the goroutines of a host pass
// typed values to each other.
package ring

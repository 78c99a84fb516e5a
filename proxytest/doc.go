// Package proxytest simulates network faults in tests: a proxy between two processes
// drops, delays, buffers or cuts their connections.
package proxytest

// Package rack decides which worker of a rack runs an attempt. A rack has one owner at a
// time. Only the owner's Rack value makes decisions; the other members have a Digest of
// it.
//
// The package has no I/O, no goroutines and no clock.
package rack

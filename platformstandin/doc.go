// Package platformstandin is a small stand-in for the platform's table, object
// store and list of hosts, for tests and the demo. It keeps everything in
// memory and can inject outages, delays and lost answers to writes that were
// applied.
package platformstandin

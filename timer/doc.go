// Package timer provides waits that end early when a context ends, for periodic calls
// and retries. It is stateless.
package timer

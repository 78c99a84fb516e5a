// Package configuration holds the configuration that operators change at run
// time. It is one versioned row of the platform's table, changed by
// compare-and-set on the version that the operator has read. A process never
// applies a version lower than the one it has.
package configuration

// Package upkeep decides which machines of a wave go down for upkeep next: never more at
// once than the wave allows, those with the fewest runs first, and all within the time of
// the wave. The package does no I/O and reads no clock.
package upkeep

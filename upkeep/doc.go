// Package upkeep decides which machines of a wave go down for their upkeep next: never
// more at once than the wave allows, rather those that are empty, and all in time. It is
// pure.
package upkeep

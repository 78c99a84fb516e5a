// Package entry implements the process of an entry host. It runs these duties, most in
// goroutines of their own: membership, ownership, configuration, decisions, journals,
// racks, workers, links to other members, and the listeners. Every entry host has all
// duties, each for its share of the partitions and racks.
package entry

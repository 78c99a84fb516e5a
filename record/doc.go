// Package record defines the entries of a partition's journal: what the owner of a
// partition makes durable before it acts. The package does no I/O.
package record

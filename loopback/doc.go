// Package loopback reserves unused addresses for the processes and hosts of a
// cell that runs on one machine.
package loopback

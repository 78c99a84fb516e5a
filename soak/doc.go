// Package soak runs entry hosts as separate processes among stand-ins, injects faults that
// are drawn from a seed, and checks the rules of the users' platform against what callers
// and workers observed.
package soak

// Package soak runs entry hosts as processes of their own among stand-ins, disturbs them
// from outside with faults drawn from a seed, and checks the rules of the users' platform
// by what callers and workers have seen.
package soak

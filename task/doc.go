// Package task defines the types shared by all other packages: the work that a caller
// submits, its tasks, the attempts to run a task, the resources that they use and the
// answer to the caller.
//
// The package has no I/O and no clock. Its values are immutable once shared; the With
// methods return changed copies.
package task

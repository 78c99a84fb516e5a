// Package operator serves the operators of the cell over HTTP, with a listener and
// tokens separate from those of callers: operators change the configuration, drain
// workers and entry hosts, and inspect the process.
package operator

// Package scenario holds end-to-end tests: each archive in testdata/script is a
// testscript that runs a cell of real processes on loopback, with a few commands of
// this package. The package has only tests.
package scenario

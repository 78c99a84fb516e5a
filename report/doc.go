// Package report measures schedulers under load and writes the results as a
// page of tables and as plots.
package report

// Package metric provides histograms for the metrics of one entry host. They implement
// expvar.Var but are not in expvar's global registry, so that one process can run
// several hosts.
package metric

// Package virtual runs a scheduler on a virtual clock. It feeds the scheduler
// the events of a load, executes its actions with simple fakes (racks, workers,
// the journal and the links between them) and measures the outcome. A run is
// determined by the load and the options, except for the measured processor
// time.
//
// The fakes follow the rules of the real processes: only package rack reserves
// capacity, a record waits for the next row of its partition, and the end of an
// attempt on a silent worker is reported only after the worker's lease has
// lapsed.
package virtual

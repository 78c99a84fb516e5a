// Package carrier lets entry hosts call workers on behalf of the owner of a large cell.
// Each call to a worker costs its sender an HTTP request and response, and the owner
// makes thousands per second, which a small host cannot sustain. The owner sends its
// calls in batches to carriers, which are hosts in the zones of the workers, and receives
// the answers in batches.
//
// Carriers decide nothing and store nothing; a carrier is a hop between owner and worker.
// A call that it delays or loses has no answer, as with any network fault. The same
// mechanisms protect against late calls: the fencing token, the run number, and deadlines
// on the worker's clock.
package carrier

// Package carrier lets entry hosts speak with workers on behalf of the owner of a large
// cell. A call to a worker costs its caller a request and a response over HTTP; the owner
// makes thousands a second, which a small host can't bear. It hands them in batches to
// carriers, hosts in the zones of the workers, and takes the answers in batches.
//
// A carrier decides nothing and keeps nothing: it is a part of the way between owner and
// worker. A call that it holds up or loses is one without an answer, as on any network,
// and what stops a call that comes late is the same: the fencing token, the number of the
// run, and times on the worker's clock.
package carrier

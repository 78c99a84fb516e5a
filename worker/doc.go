// Package worker is the client of the agents on the platform's workers. An
// agent accepts commands only from the owner with the highest epoch that it has
// received, runs each attempt at most once under a lease, retains the outcome of
// an attempt until the owner acknowledges it, and reports usage with a lag.
//
// Commands are sent as JSON over HTTP. Batches are numbered and the agent
// executes each number once, so that a batch whose answer was lost can be sent
// again. Lease ends and start deadlines are times on the agent's own clock,
// which the agent reports in its answers: a batch delayed by a paused process or
// a stalled connection can neither renew a lease nor start an attempt.
package worker

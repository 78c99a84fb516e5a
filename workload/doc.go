// Package workload defines the terms that callers and operators use: jobs that consist of
// steps, the queues that accept them, and the services whose workers run them. Values are
// immutable.
package workload

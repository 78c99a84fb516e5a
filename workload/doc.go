// Package workload holds the nouns that callers and operators speak of: jobs of
// steps, the queues that they come through, and the services whose workers run
// them. Values are immutable.
package workload

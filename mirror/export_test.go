package mirror

import "time"

// Above returns the hosts that a host asks, the best first, after hosts have failed at the times.
func Above(now time.Duration, self string, peers []Peer, failures map[string][]time.Duration) []Peer {
	var o order
	for name, times := range failures {
		for _, t := range times {
			o.fail(t, name)
		}
	}
	return o.above(now, self, peers)
}

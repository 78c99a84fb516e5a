package ledger

import "time"

const (
	// minTimeout suits a store of usual speed, which takes 10 ms for a transaction and 50
	// ms from another region, on a host that may be suspended for 100 ms.
	minTimeout = 200 * time.Millisecond
	// maxTimeout suits a store that is 60 times slower and takes 600 ms.
	maxTimeout = 1500 * time.Millisecond
	// timeoutFactor is the ratio of the timeout to the mean transaction time.
	timeoutFactor = 2
	// meanWeight is the weight of past values in the moving mean.
	meanWeight = 3
)

// adaptiveTimeout is how long a transaction may take before its owner checks whether it
// took effect. It follows the speed of the store. The zero value starts at minTimeout.
type adaptiveTimeout struct{ mean time.Duration }

// duration returns the current timeout.
func (p adaptiveTimeout) duration() time.Duration {
	return min(maxTimeout, max(minTimeout, timeoutFactor*p.mean))
}

// observe updates the mean with the duration of a call that was answered.
func (p *adaptiveTimeout) observe(length time.Duration) {
	if p.mean == 0 {
		p.mean = length
	}
	p.mean += (length - p.mean) / meanWeight
}

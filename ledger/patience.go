package ledger

import "time"

const (
	// leastPatience is for a store of usual speed, which takes 10 ms for a
	// transaction and 50 from another region; a host may stand still for 100 ms.
	leastPatience = 200 * time.Millisecond
	// mostPatience is for a store that is 60 times slower, which takes 600 ms.
	mostPatience = 1500 * time.Millisecond
	// patienceFactor is by how much a transaction may exceed the usual time.
	patienceFactor = 2
	// patienceWeight is the weight of the past in the usual time.
	patienceWeight = 3
)

// patience is how long a transaction may take before its owner looks what became of it.
// It follows the pace of the store. The zero value knows no pace.
type patience struct{ usual time.Duration }

func (p patience) length() time.Duration {
	return min(mostPatience, max(leastPatience, patienceFactor*p.usual))
}

// learn takes the length of a call that was answered.
func (p *patience) learn(length time.Duration) {
	if p.usual == 0 {
		p.usual = length
	}
	p.usual += (length - p.usual) / patienceWeight
}

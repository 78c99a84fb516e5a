package tenure

import (
	"hash/fnv"
	"strconv"
)

const (
	// capableRatio is the fraction of the largest host's processor time that a host needs
	// to count as capable of owning the cell.
	capableRatio = 0.5
	// ranksPerGroup is the number of ranks among hosts that are equal otherwise.
	ranksPerGroup = 3
)

// Candidate is a host that may take the cell over.
type Candidate struct {
	Host string
	// Processors is its share of processor time, in cores.
	Processors float64
	// NearStore reports whether the store is in the host's region.
	NearStore bool
}

// Capable reports whether a host has the processor time to own the cell, relative to the
// largest share of all hosts. Most of the work for a cell is done by its owner, so a small
// host is the last choice.
func (c Candidate) Capable(largest float64) bool { return c.Processors >= capableRatio*largest }

// Rank returns the rank of a host among the candidates for the tenure after the one with
// the given fencing token. Capable hosts rank first, and among these the ones near the
// store. A hash of host and token spreads equal hosts over several ranks, so that few of
// them try at once.
func (c Candidate) Rank(fence int64, largest float64) int {
	hash := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = hash.Write([]byte(c.Host + "/" + strconv.FormatInt(fence, 10)))
	rank := int(hash.Sum32() % ranksPerGroup)
	if !c.NearStore {
		rank += ranksPerGroup
	}
	if !c.Capable(largest) {
		rank += 2 * ranksPerGroup
	}
	return rank
}

package tenure

import (
	"hash/fnv"
	"strconv"
)

const (
	// capableRatio is the part of the largest host's processor time from which a host is
	// able to own the cell as well as that one.
	capableRatio = 0.5
	// ranksPerGroup is the number of ranks among hosts that are alike.
	ranksPerGroup = 3
)

// Candidate is a host that may take the cell.
type Candidate struct {
	Host string
	// Processors is its share of processor time, in cores.
	Processors float64
	// NearStore tells that the store stands in its region.
	NearStore bool
}

// Capable reports whether a host has the processor time to own the cell, against the
// largest share of all hosts. What the owner does is most of what a cell costs, so that
// a small one is the last choice.
func (c Candidate) Capable(largest float64) bool { return c.Processors >= capableRatio*largest }

// Rank is the place of a host among the candidates for the tenure after the one with a
// fencing token: able hosts come first, and among these those near the store. Hosts that
// are alike draw lots, so that few of them try at once.
func (c Candidate) Rank(fence int64, largest float64) int {
	hash := fnv.New32a()
	// A hash never fails to take bytes.
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

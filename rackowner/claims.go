package rackowner

import "sync"

// Claims records the highest epoch known for each partition, so that commands from a
// replaced owner can be recognised as stale. The zero value is empty. Claims is safe for
// concurrent use.
type Claims struct {
	mu      sync.Mutex
	highest map[string]claim
}

// claim is the latest known owner of a partition.
type claim struct {
	owner string
	epoch uint64
}

// Observe records an owner of a partition and reports whether no higher epoch is known.
func (c *Claims) Observe(partition, owner string, epoch uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.highest[partition]
	if epoch < known.epoch {
		return false
	}
	if epoch > known.epoch {
		if c.highest == nil {
			c.highest = map[string]claim{}
		}
		c.highest[partition] = claim{owner: owner, epoch: epoch}
	}
	return true
}

// Owner returns the owner with the highest epoch, or "" if none is known.
func (c *Claims) Owner(partition string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.highest[partition].owner
}

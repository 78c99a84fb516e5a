package partition

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillaquay/vanillaquay/member"
	"github.com/vanillaquay/vanillaquay/task"
)

// Name returns the name of a region's partition with the given number.
func Name(region string, number int) string { return fmt.Sprintf("%s-%03d", region, number) }

// Layout defines how work is distributed over partitions. All members use the same one.
type Layout struct {
	// Regions lists the regions in order; a team without a home region is hashed to one.
	Regions []string
	// PerRegion is the number of partitions of each region, at least 1.
	PerRegion int
}

// PartitionOf returns the partition of a piece of work. Unless shards is above 1, all work
// of a team is in one partition of its home region, so that the owner of the partition
// knows the team's total usage.
func (l Layout) PartitionOf(k task.Key, home string, shards int) string {
	shard := uint64(0)
	if shards > 1 {
		shard = xxhash.Sum64String(k.ID) % uint64(shards)
	}
	return l.shard(k.Team, home, shard)
}

// TeamPartitions returns all partitions of a team's work, sorted by name.
func (l Layout) TeamPartitions(team, home string, shards int) []string {
	var names []string
	for shard := range max(shards, 1) {
		names = append(names, l.shard(team, home, uint64(shard)))
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// shard returns the partition of one shard of a team.
func (l Layout) shard(team, home string, shard uint64) string {
	hash := xxhash.Sum64String(team)
	if home == "" {
		home = l.Regions[hash%uint64(len(l.Regions))]
	}
	return Name(home, int((hash+shard)%uint64(l.PerRegion)))
}

// RegionPartitions returns the partitions of a region.
func (l Layout) RegionPartitions(region string) []string {
	names := make([]string, l.PerRegion)
	for i := range names {
		names[i] = Name(region, i)
	}
	return names
}

// PreferredOwner returns the member that should own a partition or rack, by highest random
// weight (Thaler and Ravishankar, 1998), or false if there are no members.
func PreferredOwner(resource string, members []member.Member) (member.Member, bool) {
	var best member.Member
	var highest uint64
	for _, m := range members {
		weight := xxhash.Sum64String(resource + "\x00" + m.ID)
		if best.ID == "" || weight > highest {
			best, highest = m, weight
		}
	}
	return best, best.ID != ""
}

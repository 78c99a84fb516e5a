package partition_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/partition"
	"github.com/vanillaquay/vanillaquay/task"
)

// TestTeamPartitionsMatchItsWork guards against partitions of a team that differ from
// those of its pieces of work.
func TestTeamPartitionsMatchItsWork(t *testing.T) {
	l := partition.Layout{Regions: []string{"centro", "austral"}, PerRegion: 8}
	for _, shards := range []int{0, 1, 3, 20} {
		seen := map[string]bool{}
		for i := range 1000 {
			seen[l.PartitionOf(task.Key{Team: "domes", ID: fmt.Sprint(i)}, "", shards)] = true
		}
		qt.Check(t, l.TeamPartitions("domes", "", shards), qt.DeepEquals, slices.Sorted(maps.Keys(seen)))
	}
}

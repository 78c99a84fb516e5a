package configuration

import (
	"maps"
	"slices"
)

// MovedTeams returns the teams whose work is in other partitions under the wanted
// configuration than under the current one, in order. The new partitions know
// nothing of the IDs that the old ones remember.
func MovedTeams(current, wanted Configuration) []string {
	teams := map[string]bool{}
	for name, t := range current.Teams {
		teams[name] = !t.samePartitions(wanted.Teams[name])
	}
	for name, t := range wanted.Teams {
		teams[name] = !t.samePartitions(current.Teams[name])
	}
	maps.DeleteFunc(teams, func(_ string, moves bool) bool { return !moves })
	return slices.Sorted(maps.Keys(teams))
}

func (t Team) samePartitions(o Team) bool {
	return t.Home == o.Home && max(t.Shards, 1) == max(o.Shards, 1)
}

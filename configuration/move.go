package configuration

import (
	"maps"
	"slices"
)

// MovedTeams returns the names, in order, of the teams whose work belongs to
// other partitions under the wanted configuration than under the current one.
// The new partitions do not have the request IDs that the old ones retain, so
// they cannot recognise repeated requests.
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

// samePartitions reports whether two configurations of a team put its work into
// the same partitions.
func (t Team) samePartitions(o Team) bool {
	return t.Home == o.Home && max(t.Shards, 1) == max(o.Shards, 1)
}

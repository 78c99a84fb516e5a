package configuration_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/configuration"
)

func TestMovesNamesTeamsInOtherPartitions(t *testing.T) {
	current := configuration.Configuration{Teams: map[string]configuration.Team{
		"domes": {Home: "centro", Weight: 1}, "plants": {Shards: 2}, "schools": {Weight: 3},
	}}
	wanted := configuration.Configuration{Teams: map[string]configuration.Team{
		"domes": {Home: "centro", Weight: 5}, "schools": {Shards: 1}, "visitors": {Home: "austral"},
	}}
	qt.Assert(t, configuration.MovedTeams(current, current), qt.HasLen, 0)
	qt.Assert(t, configuration.MovedTeams(current, wanted), qt.DeepEquals, []string{"plants", "visitors"})
}

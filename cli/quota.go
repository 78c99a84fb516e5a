package cli

import (
	"net/http"
	"net/url"

	"github.com/vanillaquay/vanillaquay/configuration"
	"github.com/vanillaquay/vanillaquay/quantity"
)

// quotaCommand prints or changes the configuration of a team.
type quotaCommand struct {
	changeOptions
	moveOption
	Team         string          `arg:"" help:"Name of the team."`
	Processors   *float64        `help:"Most processors that running tasks may take; 0 is no limit."`
	Memory       *quantity.Bytes `help:"Most memory, with a unit; 0B is no limit."`
	Accelerators *int64          `help:"Most accelerators; 0 is no limit."`
	Weight       *int            `help:"Weight in the fair share; 0 counts as 1."`
	Home         *string         `help:"Region that holds the team's work."`
	Shards       *int            `help:"Number of partitions that hold the team's work."`
	Remove       bool            `help:"Remove all that is set for the team."`
}

// Help implements kong.HelpProvider.
func (c quotaCommand) Help() string {
	return `Without a flag that changes something, prints what is set for the team. Only the
fields that are given change.

Example:
  vanillaquay quota domes --processors 64 --memory 128GiB --weight 2`
}

// teamPatch is the JSON Merge Patch of a team.
type teamPatch struct {
	Quota  *sizePatch `json:",omitempty"`
	Weight *int       `json:",omitempty"`
	Home   *string    `json:",omitempty"`
	Shards *int       `json:",omitempty"`
}

// sizePatch is the JSON Merge Patch of a quota.
type sizePatch struct {
	Processors   *float64        `json:",omitempty"`
	Memory       *quantity.Bytes `json:",omitempty"`
	Accelerators *int64          `json:",omitempty"`
}

// Run implements the subcommand.
func (c quotaCommand) Run() error {
	path := "/v1/teams/" + url.PathEscape(c.Team)
	if c.Remove {
		return c.changeWithQuery(http.MethodDelete, path, c.queryPart(), nil)
	}
	patch := teamPatch{Weight: c.Weight, Home: c.Home, Shards: c.Shards}
	size := sizePatch{Processors: c.Processors, Memory: c.Memory, Accelerators: c.Accelerators}
	if size != (sizePatch{}) {
		patch.Quota = &size
	}
	if patch != (teamPatch{}) {
		return c.changeWithQuery(http.MethodPatch, path, c.queryPart(), patch)
	}
	var team configuration.Team
	if err := c.get(path, &team); err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(team)
	}
	return printIndented(team)
}

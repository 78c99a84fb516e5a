package cli

import "github.com/vanillaquay/vanillaquay/configuration"

// showCommand prints the configuration.
type showCommand struct {
	operatorOptions
	InForce bool `name:"in-force" help:"What this host applies, in place of what stands in the table."`
}

// Help implements kong.HelpProvider.
func (c showCommand) Help() string {
	return `Example:
  vanillaquay show --address 10.0.0.1:7100 --output json > cell.json`
}

// Run implements the subcommand.
func (c showCommand) Run() error {
	path := "/v1/configuration"
	if c.InForce {
		path += "?inforce"
	}
	var current configuration.Configuration
	if err := c.get(path, &current); err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(current)
	}
	return printIndented(current)
}

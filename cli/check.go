package cli

import (
	"fmt"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/settings"
)

// settingsFiles holds the flags of every subcommand that reads settings.
type settingsFiles struct {
	Settings string   `required:"" type:"path" help:"Base file of the settings."`
	Overlay  []string `type:"path" help:"Overlay of the site; may be given more than once."`
}

// checkCommand checks settings without starting anything.
type checkCommand struct {
	settingsFiles
	Host   string `help:"Name of a host that the settings must have."`
	Output string `enum:"text,json" default:"text" help:"Form of the faults: text or json."`
}

// Help implements kong.HelpProvider.
func (c checkCommand) Help() string {
	return `Prints every fault with its file, path and a sentence. The exit code is 2 if there
is any.

Example:
  vanillaquay check --settings base.json --overlay catania.json --host e1`
}

// Run implements the subcommand.
func (c checkCommand) Run() error {
	s, err := settings.Load(c.Settings, c.Overlay...)
	var invalid *settings.FaultsError
	if errors.As(err, &invalid) && c.Output == "json" {
		if err := printJSON(invalid); err != nil {
			return err
		}
	}
	if err != nil {
		return codedError{exitUsage, err}
	}
	if _, ok := s.Hosts[c.Host]; c.Host != "" && !ok {
		return codedError{exitUsage, errors.NotFoundf("host %q in the settings", c.Host)}
	}
	if c.Output == "json" {
		return printJSON(settings.FaultsError{})
	}
	fmt.Printf("%d hosts, %d teams, %d operators: no faults\n", len(s.Hosts), len(s.Teams), len(s.Operators))
	return nil
}

package cli

import "net/http"

// undrainCommand ends the drain of a worker or an entry host.
type undrainCommand struct {
	changeOptions
	drainTarget
}

// Help implements kong.HelpProvider.
func (c undrainCommand) Help() string {
	return `Example:
  vanillaquay undrain --worker w17`
}

// Run implements the subcommand.
func (c undrainCommand) Run() error { return c.change(http.MethodDelete, c.path(), nil) }

package cli

import (
	"io"
	"os"

	"github.com/vanillaquay/vanillaquay/demo"
)

// demoCommand runs a whole cell in one process as a demonstration.
type demoCommand struct {
	Logs bool `help:"Write the log of the entry hosts to the standard error."`
}

// Help implements kong.HelpProvider.
func (c demoCommand) Help() string {
	return `Starts entry hosts with stand-ins for the platform and the workers on loopback,
submits work of every kind, takes an entry host and a worker away midway, and
checks what must hold. The exit code is 1 if a check fails.

Example:
  vanillaquay demo`
}

// Run implements the subcommand.
func (c demoCommand) Run() error {
	logs := io.Discard
	if c.Logs {
		logs = os.Stderr
	}
	return demo.Run(os.Stdout, logs)
}

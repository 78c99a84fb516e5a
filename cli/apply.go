package cli

import (
	"io"
	"net/http"
	"os"

	"github.com/juju/errors"
)

// applyCommand replaces the configuration.
type applyCommand struct {
	changeOptions
	moveOption
	File string `arg:"" help:"Configuration as JSON with the version that was seen; - is the standard input."`
}

// Help implements kong.HelpProvider.
func (c applyCommand) Help() string {
	return `The change is accepted only if the version in the file still stands. If not, the
exit code is 6 and the fields that differ are printed.

Example:
  vanillaquay show --output json > cell.json
  vanillaquay apply cell.json`
}

// Run implements the subcommand.
func (c applyCommand) Run() error {
	data, err := readInput(c.File)
	if err != nil {
		return codedError{exitUsage, err}
	}
	return c.changeWithQuery(http.MethodPut, "/v1/configuration", c.queryPart(), data)
}

// readInput reads a file, or the standard input if the name is "-".
func readInput(name string) ([]byte, error) {
	if name == "-" {
		data, err := io.ReadAll(os.Stdin)
		return data, errors.Trace(err)
	}
	data, err := os.ReadFile(name)
	return data, errors.Trace(err)
}

package cli

import (
	"fmt"
	"net/http"

	"github.com/vanillaquay/vanillaquay/operator"
)

// diffCommand compares a file with the current configuration.
type diffCommand struct {
	operatorOptions
	File string `arg:"" help:"Configuration as JSON; - is the standard input."`
}

// Help implements kong.HelpProvider.
func (c diffCommand) Help() string {
	return `Prints a line for each field that apply would change. The exit code is 0 also
if there are differences.

Example:
  vanillaquay diff cell.json`
}

// Run implements the subcommand.
func (c diffCommand) Run() error {
	data, err := readInput(c.File)
	if err != nil {
		return codedError{exitUsage, err}
	}
	var comparison operator.Comparison
	if err := c.call(http.MethodPost, "/v1/configuration/diff", data, &comparison); err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(comparison)
	}
	printDifferences(comparison.Differences)
	fmt.Printf("%d differences from version %d\n", len(comparison.Differences), comparison.Version)
	return nil
}

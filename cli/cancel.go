package cli

import (
	"net/http"
	"net/url"
)

// cancelCommand cancels a piece of work.
type cancelCommand struct {
	callerOptions
	ID string `arg:"" help:"Request ID."`
}

// Help implements kong.HelpProvider.
func (c cancelCommand) Help() string {
	return `What has not started never will; what runs is stopped. Work that has ended keeps
its answer, which is printed.

Example:
  vanillaquay cancel lookup`
}

// Run implements the subcommand.
func (c cancelCommand) Run() error {
	return c.call(http.MethodDelete, "/v1/work/"+url.PathEscape(c.ID), nil)
}

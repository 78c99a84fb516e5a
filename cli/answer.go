package cli

import (
	"net/http"
	"net/url"
)

// answerCommand waits for the final answer to a piece of work and prints it.
type answerCommand struct {
	callerOptions
	ID string `arg:"" help:"Request ID."`
}

// Help implements kong.HelpProvider.
func (c answerCommand) Help() string {
	return `Example:
  vanillaquay answer nightly-0412 --output json`
}

// Run implements the subcommand.
func (c answerCommand) Run() error {
	path := "/v1/work/" + url.PathEscape(c.ID) + "/answer"
	answer, err := c.request(http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if answer, err = c.awaitFinal(answer, http.MethodGet, path); err != nil {
		return err
	}
	return c.printAnswer(answer)
}

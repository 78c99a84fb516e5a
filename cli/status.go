package cli

import (
	"net/http"
	"net/url"
)

// statusCommand prints the current or, with --wait, the final answer to a piece of
// work.
type statusCommand struct {
	callerOptions
	ID   string `arg:"" help:"Request ID."`
	Wait bool   `help:"Wait for the final answer."`
}

// Help implements kong.HelpProvider.
func (c statusCommand) Help() string {
	return `Example:
  vanillaquay status nightly-0412`
}

// Run implements the subcommand.
func (c statusCommand) Run() error {
	path := "/v1/work/" + url.PathEscape(c.ID)
	answer, err := c.request(http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if c.Wait {
		if answer, err = c.awaitFinal(answer, http.MethodGet, path+"/answer"); err != nil {
			return err
		}
	}
	return c.printAnswer(answer)
}

package cli

import (
	"net/http"
	"net/url"
)

// drainTarget holds the flags that name what is drained: one worker or one entry
// host.
type drainTarget struct {
	Worker string `xor:"target" required:"" help:"Worker that takes nothing new."`
	Host   string `xor:"target" required:"" help:"Entry host that hands over what it owns."`
}

// path returns the URL path of the target's drain.
func (t drainTarget) path() string {
	if t.Worker != "" {
		return "/v1/workers/" + url.PathEscape(t.Worker) + "/drain"
	}
	return "/v1/hosts/" + url.PathEscape(t.Host) + "/drain"
}

// drainCommand drains a worker or an entry host.
type drainCommand struct {
	changeOptions
	drainTarget
}

// Help implements kong.HelpProvider.
func (c drainCommand) Help() string {
	return `What runs on a drained worker goes on to its end. A drained entry host still
serves callers, but owns nothing.

Example:
  vanillaquay drain --worker w17
  vanillaquay drain --host e3`
}

// Run implements the subcommand.
func (c drainCommand) Run() error { return c.change(http.MethodPut, c.path(), nil) }

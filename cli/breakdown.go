package cli

import (
	"io"
	"os"
	"strings"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/breakdown"
)

// breakdownCommand reports from logs where jobs spent their time and where they
// were lost.
type breakdownCommand struct {
	Windows int        `default:"5" help:"How many of the worst windows to tell of."`
	Seconds bool       `help:"Tell of each second, too."`
	Plot    string     `placeholder:"FILE" help:"Draw what was served and lost in each second, with the worst windows, as SVG."`
	Logs    []*os.File `arg:"" optional:"" help:"Logs of entry hosts; none is the standard input."`
}

// Help implements kong.HelpProvider.
func (c breakdownCommand) Help() string {
	return `What became of the jobs by queue, size class (the largest tenth of a queue's jobs by
work, the next fifth, the rest) and availability zone of the host that was called, with the
phase in which the others were lost; how long each phase took (median and ninth decile); the
worst windows of 2 s, by their first calls, and what happened in them; the takeovers of the
cell by their cause, and how long it had no owner; and last what the logs don't tell.

A job without an objective on its lines is late if it takes twice the median of its queue. An
open job had not ended at the end of the logs; an untraced one may have ended on a line that
is missing, and counts as neither done nor missed.

Example:
  cat e1.log e2.log | vanillaquay breakdown`
}

// Run implements the subcommand.
func (c breakdownCommand) Run() error {
	var inputs []io.Reader
	for _, f := range c.Logs {
		defer f.Close()
		// The last line of a truncated file has no line break; without one it would
		// be joined with the first line of the next file.
		inputs = append(inputs, f, strings.NewReader("\n"))
	}
	if len(inputs) == 0 {
		inputs = append(inputs, os.Stdin)
	}
	report, err := breakdown.Read(io.MultiReader(inputs...))
	if err != nil {
		return err
	}
	windows := report.Worst(c.Windows)
	if c.Plot != "" {
		if err := writePlot(c.Plot, report, windows); err != nil {
			return err
		}
	}
	return report.WriteText(os.Stdout, windows, c.Seconds)
}

func writePlot(name string, r breakdown.Report, windows []breakdown.Window) error {
	f, err := os.Create(name)
	if err != nil {
		return errors.Annotate(err, "plot")
	}
	defer f.Close()
	if err := r.Plot(f, windows); err != nil {
		return err
	}
	return errors.Annotate(f.Close(), "plot")
}

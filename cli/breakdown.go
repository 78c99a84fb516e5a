package cli

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/vanillaquay/vanillaquay/breakdown"
)

// breakdownCommand tells from logs where jobs spent their time.
type breakdownCommand struct {
	Logs []*os.File `arg:"" optional:"" help:"Logs of entry hosts; none is the standard input."`
}

// Help implements kong.HelpProvider.
func (c breakdownCommand) Help() string {
	return `For each queue: its jobs and runs by how they ended, and the times of each phase
(median and ninth decile): until the acceptance, until the first advice, until the first
start for want of room, and at work. Then the takeovers of the cell by their cause, and how
long it had no owner.

Example:
  cat e1.log e2.log | vanillaquay breakdown`
}

// Run implements the subcommand.
func (c breakdownCommand) Run() error {
	var inputs []io.Reader
	for _, f := range c.Logs {
		defer f.Close()
		inputs = append(inputs, f)
	}
	if len(inputs) == 0 {
		inputs = append(inputs, os.Stdin)
	}
	report, err := breakdown.Read(io.MultiReader(inputs...))
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "Queue\tJobs\tEnded\tRuns")
	for _, p := range breakdown.Phases {
		fmt.Fprintf(w, "\t%s", p)
	}
	fmt.Fprintln(w)
	for _, q := range report.Queues {
		fmt.Fprintf(w, "%s\t%d\t%v\t%v", q.Name, q.Jobs, q.Ended, q.Runs)
		for _, p := range breakdown.Phases {
			fmt.Fprintf(w, "\t%s %s", q.Percentile(p, 0.5).Round(time.Millisecond), q.Percentile(p, 0.9).Round(time.Millisecond))
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w, "\nTakeovers\tNumber\tMedian\tNinth decile\tLongest")
	for _, c := range breakdown.Causes {
		t := report.Takeovers
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\n", c, len(t[c]), t.Percentile(c, 0.5), t.Percentile(c, 0.9), t.Percentile(c, 1))
	}
	return w.Flush()
}

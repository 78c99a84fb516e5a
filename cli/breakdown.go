package cli

import (
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/breakdown"
)

// breakdownCommand tells from logs where jobs spent their time and were lost.
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
		inputs = append(inputs, f)
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
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	writeGroups(w, "Queue", report.Groups(breakdown.ByQueue))
	writeGroups(w, "Size", report.Groups(breakdown.BySize))
	writeGroups(w, "Zone", report.Groups(breakdown.ByZone))
	if c.Seconds {
		writeGroups(w, "Second", report.Groups(breakdown.BySecond))
	}
	writePhases(w, report.Queues)
	writeTakeovers(w, report.Takeovers)
	writeWindows(w, windows)
	writeGaps(w, report)
	return w.Flush()
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

// writeGroups writes what became of the jobs of each group, and where they were lost.
func writeGroups(w io.Writer, title string, groups []breakdown.Group) {
	fmt.Fprintf(w, "%s\tJobs", title)
	for _, r := range breakdown.Results {
		fmt.Fprintf(w, "\t%s", r)
	}
	fmt.Fprintln(w, "\tForgone\tLost in")
	for _, g := range groups {
		fmt.Fprintf(w, "%s\t%d", g.Name, g.Jobs)
		for _, r := range breakdown.Results {
			fmt.Fprintf(w, "\t%d", g.Results[r])
		}
		fmt.Fprintf(w, "\t%s\t%s\n", forgone(g), lostIn(g))
	}
	fmt.Fprintln(w)
}

// forgone returns the payoff that was lost, if the logs have any.
func forgone(g breakdown.Group) string {
	if g.Payoff == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f of %.1f", g.Forgone, g.Payoff)
}

// lostIn counts the lost jobs of a group by phase.
func lostIn(g breakdown.Group) string {
	var parts []string
	for _, p := range breakdown.Phases {
		if g.Lost[p] > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", p, g.Lost[p]))
		}
	}
	return strings.Join(parts, ", ")
}

func writePhases(w io.Writer, queues []breakdown.Queue) {
	fmt.Fprintln(w, "Queue\tPhase\tJobs\tMedian\tNinth decile\tIn all")
	for _, q := range queues {
		for _, p := range breakdown.Phases {
			if len(q.Times[p]) == 0 {
				continue
			}
			all := time.Duration(0)
			for _, spent := range q.Times[p] {
				all += spent
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\n", q.Name, p, len(q.Times[p]), rounded(q.Percentile(p, 0.5)), rounded(q.Percentile(p, 0.9)), all.Round(time.Second))
		}
		fmt.Fprintf(w, "%s\truns %v\n", q.Name, q.Runs)
	}
	fmt.Fprintln(w)
}

func rounded(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

func writeTakeovers(w io.Writer, t breakdown.Takeovers) {
	fmt.Fprintln(w, "Takeovers\tNumber\tMedian\tNinth decile\tLongest")
	for _, c := range breakdown.Causes {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\n", c, len(t[c]), t.Percentile(c, 0.5), t.Percentile(c, 0.9), t.Percentile(c, 1))
	}
	fmt.Fprintln(w)
}

func writeWindows(w io.Writer, windows []breakdown.Window) {
	for _, v := range windows {
		fmt.Fprintf(w, "From second %d: %d jobs (median %d), %d missed; forgone %s; lost in %s\n", v.From/time.Second, v.Jobs, v.Usual, v.Missed(), forgone(v.Group), lostIn(v.Group))
		for _, e := range v.Events {
			fmt.Fprintf(w, "  %s: %s, %d times", e.Kind, e.What, e.Count)
			if e.Longest > 0 {
				fmt.Fprintf(w, ", up to %s", rounded(e.Longest))
			}
			fmt.Fprintf(w, " (%s", strings.Join(e.Subjects, ", "))
			if e.Count > len(e.Subjects) {
				fmt.Fprint(w, " ...")
			}
			fmt.Fprintln(w, ")")
		}
	}
	fmt.Fprintln(w)
}

// writeGaps writes what the logs don't tell.
func writeGaps(w io.Writer, r breakdown.Report) {
	fmt.Fprintf(w, "Lines: %d read, %d not of a log, %d malformed, %d dropped by their hosts\n", r.Lines.Read, r.Lines.Foreign, r.Lines.Malformed, r.Lines.Dropped)
	for _, name := range r.Lines.Named {
		fmt.Fprintln(w, "  malformed:", name)
	}
	for _, s := range r.Gaps.Silent {
		fmt.Fprintf(w, "  no line from second %.0f to %.0f\n", s.From.Seconds(), s.To.Seconds())
	}
	for _, gap := range []struct {
		jobs int
		what string
	}{
		{r.Gaps.Unqueued, "in no group: neither a call nor a submission"},
		{r.Gaps.Uncalled, "without a call: time before the submission and zone unknown"},
		{r.Gaps.Unsubmitted, "accepted without a submission: no phase known"},
		{r.Gaps.Unrun, "done without the end of a run: time Untold"},
		{r.Gaps.Aimless, "without aim_ms: late at twice the median of their queue"},
		{r.Gaps.Unweighed, "without work_s: sized by their runs, if they were done"},
		{r.Gaps.Zoneless, "at a host whose start is missing: zone unknown"},
	} {
		if gap.jobs > 0 {
			fmt.Fprintf(w, "  %d jobs %s\n", gap.jobs, gap.what)
		}
	}
}

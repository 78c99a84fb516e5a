package breakdown

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

// WriteText writes the report as tables, with the given windows and, if seconds is set, a
// line for each second.
func (r Report) WriteText(output io.Writer, windows []Window, seconds bool) error {
	w := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	writeGroups(w, "Queue", r.Groups(ByQueue))
	writeGroups(w, "Size", r.Groups(BySize))
	writeGroups(w, "Zone", r.Groups(ByZone))
	if seconds {
		writeGroups(w, "Second", r.Groups(BySecond))
	}
	writePhases(w, r.Queues)
	writeTakeovers(w, r.Takeovers)
	writeWindows(w, windows)
	r.writeGaps(w)
	return errors.Annotate(w.Flush(), "report")
}

// writeGroups writes the results of each group and the phases of its missed jobs.
func writeGroups(w io.Writer, title string, groups []Group) {
	fmt.Fprintf(w, "%s\tJobs", title)
	for _, r := range Results {
		fmt.Fprintf(w, "\t%s", r)
	}
	fmt.Fprintln(w, "\tForgone\tLost in")
	for _, g := range groups {
		fmt.Fprintf(w, "%s\t%d", g.Name, g.Jobs)
		for _, r := range Results {
			fmt.Fprintf(w, "\t%d", g.Results[r])
		}
		fmt.Fprintf(w, "\t%s\t%s\n", forgone(g), lostIn(g))
	}
	fmt.Fprintln(w)
}

// forgone formats the worth that was lost, or "-" if the logs have no worth.
func forgone(g Group) string {
	if g.Worth == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f of %.1f", g.Forgone, g.Worth)
}

// lostIn formats the numbers of missed jobs by phase.
func lostIn(g Group) string {
	var parts []string
	for _, p := range Phases {
		if g.Lost[p] > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", p, g.Lost[p]))
		}
	}
	return strings.Join(parts, ", ")
}

func writePhases(w io.Writer, queues []Queue) {
	fmt.Fprintln(w, "Queue\tPhase\tJobs\tMedian\tNinth decile\tIn all")
	for _, q := range queues {
		for _, p := range Phases {
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

func writeTakeovers(w io.Writer, t Takeovers) {
	fmt.Fprintln(w, "Takeovers\tNumber\tMedian\tNinth decile\tLongest")
	for _, c := range Causes {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\n", c, len(t[c]), t.Percentile(c, 0.5), t.Percentile(c, 0.9), t.Percentile(c, 1))
	}
	fmt.Fprintln(w)
}

func writeWindows(w io.Writer, windows []Window) {
	for _, v := range windows {
		fmt.Fprintf(w, "From second %d: %d jobs (median %d), %d missed; forgone %s; lost in %s\n", v.From/time.Second, v.Jobs, v.MedianJobs, v.Missed(), forgone(v.Group), lostIn(v.Group))
		for _, e := range v.Incidents {
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

// writeGaps writes which data the logs lack.
func (r Report) writeGaps(w io.Writer) {
	fmt.Fprintf(w, "Lines: %d read, %d not of a log, %d malformed, %d dropped by their hosts\n", r.Lines.Read, r.Lines.Foreign, r.Lines.Malformed, r.Lines.Dropped)
	for _, name := range r.Lines.MalformedSamples {
		fmt.Fprintln(w, "  malformed:", name)
	}
	for _, s := range r.Gaps.Silences {
		fmt.Fprintf(w, "  no line from second %.0f to %.0f\n", s.From.Seconds(), s.To.Seconds())
	}
	for _, gap := range []struct {
		jobs int
		what string
	}{
		{r.Gaps.WithoutQueue, "in no group: neither a call nor a submission"},
		{r.Gaps.WithoutCall, "without a call: time before the submission and zone unknown"},
		{r.Gaps.WithoutSubmission, "accepted without a submission: no phase known"},
		{r.Gaps.WithoutRun, "done without the end of a run: time Untold"},
		{r.Gaps.WithoutObjective, "without aim_ms: late at twice the median of their queue"},
		{r.Gaps.WithoutEstimate, "without work_s: sized by their runs, if they were done"},
		{r.Gaps.WithoutZone, "at a host whose start is missing: zone unknown"},
	} {
		if gap.jobs > 0 {
			fmt.Fprintf(w, "  %d jobs %s\n", gap.jobs, gap.what)
		}
	}
}

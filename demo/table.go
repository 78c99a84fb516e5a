package demo

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// report writes the final table and the checks, and returns the number of
// failed checks.
func report(out io.Writer, h *history, submissions []submission, all []check) int {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "WORK\tKIND\tIDEMPOTENT\tANSWER\tWAIT\tWHERE")
	for _, p := range submissions {
		fmt.Fprintf(table, "%s\t%s\t%t\t%s\t%s\t%s\n",
			p.work.ID, p.work.Kind, p.work.Idempotent, formatAnswer(p), formatWait(p), formatWorkers(h.byTask(p.work.ID)))
	}
	// An error can't be reported: the writer is the program's output.
	_ = table.Flush()
	failed := 0
	for _, c := range all {
		if c.fault == "" {
			fmt.Fprintf(out, "holds: %s\n", c.name)
			continue
		}
		failed++
		fmt.Fprintf(out, "FAILS: %s: %s\n", c.name, c.fault)
	}
	return failed
}

func formatAnswer(p submission) string {
	if p.answer.Code == "" {
		return string(p.answer.State)
	}
	return fmt.Sprintf("%s, %s", p.answer.State, p.answer.Code)
}

// formatWait returns the time until the last task started.
func formatWait(p submission) string {
	if p.answer.State != task.Ran {
		return "-"
	}
	return time.Duration(p.answer.Waited).Round(time.Millisecond).String()
}

// formatWorkers lists the workers in the order of their first starts.
func formatWorkers(tasks [][]run) string {
	var runs []run
	for _, attempts := range tasks {
		runs = append(runs, attempts...)
	}
	slices.SortFunc(runs, func(a, b run) int { return a.start.Compare(b.start) })
	var names []string
	for _, r := range runs {
		if !slices.Contains(names, r.worker) {
			names = append(names, r.worker)
		}
	}
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, ", ")
}

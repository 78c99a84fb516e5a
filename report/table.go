package report

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/vanillaquay/vanillaquay/load"
	"github.com/vanillaquay/vanillaquay/virtual"
)

// Waits writes a table of the waits of each class of work.
func Waits(w io.Writer, rows []Row) error {
	t := table{header: []string{"Scheduler", "Kind", "Submitted", "Started", "Came back", "Refused", "Failed", "Not started", "p50", "p99", "Max", "Refusal at most"}}
	for _, row := range rows {
		for _, class := range load.Classes() {
			c := row.Result.Classes[class]
			if c.Submitted == 0 {
				continue
			}
			wait := func(p float64) string { return formatWait(row.Result.Wait(class, p)) }
			t.add(row.Scheduler, class, c.Submitted, c.Started, c.Retries, c.Refused, c.Failed, c.Unstarted, wait(50), wait(99), wait(100), formatWait(c.MaxRefusalTime))
		}
	}
	return t.write(w)
}

// Costs writes a table of packing and control costs.
func Costs(w io.Writer, rows []Row) error {
	t := table{header: []string{"Scheduler", "Packing", "Wasted", "Decisions a second", "Time p50", "Time p99", "Event p99", "Looked at p50", "Looked at p99", "Events per start", "Bytes per start", "Link bytes per start", "Rows per start", "Lost to failing workers"}}
	for _, row := range rows {
		r := row.Result
		t.add(row.Scheduler, percent(r.Packing()), percent(r.WasteShare()), fmt.Sprintf("%.0f", r.DecisionRate()),
			decisionTime(r.PerDecision, 50), decisionTime(r.PerDecision, 99), decisionTime(r.PerEvent, 99), scannedAt(r, 50), scannedAt(r, 99), fmt.Sprintf("%.1f", r.PerPlacement(int64(r.Events))),
			fmt.Sprintf("%.0f", r.PerPlacement(r.Bytes)), fmt.Sprintf("%.0f", r.PerPlacement(r.LinkBytes)),
			fmt.Sprintf("%.3f", r.PerPlacement(int64(r.Rows))), failingWorkerShare(r))
	}
	return t.write(w)
}

func decisionTime(h *hdrhistogram.Histogram, p float64) string {
	return time.Duration(h.ValueAtQuantile(p)).Round(100 * time.Nanosecond).String()
}

func scannedAt(r *virtual.Result, p float64) string {
	if r.Scanned == 0 {
		return "-"
	}
	return fmt.Sprint(r.ScannedPerDecision.ValueAtQuantile(p))
}

func failingWorkerShare(r *virtual.Result) string {
	if r.Attempts == 0 {
		return "-"
	}
	return percent(float64(r.FailingWorkerStarts) / float64(r.Attempts))
}

func percent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }

func formatWait(d time.Duration) string {
	if d >= time.Second {
		return d.Round(10 * time.Millisecond).String()
	}
	return d.Round(100 * time.Microsecond).String()
}

// table is a Markdown table.
type table struct {
	header []string
	lines  []string
}

func (t *table) add(cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	t.lines = append(t.lines, "| "+strings.Join(texts, " | ")+" |")
}

func (t *table) write(w io.Writer) error {
	rule := strings.Repeat("|---", len(t.header)) + "|"
	_, err := fmt.Fprintf(w, "| %s |\n%s\n%s\n\n", strings.Join(t.header, " | "), rule, strings.Join(t.lines, "\n"))
	return err
}

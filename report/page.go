package report

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/load"
	"github.com/vanillaquay/vanillaquay/virtual"
)

// preface is the beginning of the page.
const preface = `# Measures of the decisions

This page and the plots are written by

    go run ./cmd/measure run --seed %d

on a virtual clock (package virtual): all figures but the processor times
repeat exactly for a seed. The loads are in package load, the baselines in
package baseline. A wait lasts from the arrival of the work to the start of its
last task, not counting starts on workers that fail everything; work that had not
started by the end of the run, or that failed before, counts with the time until
then. Percentiles are exact. Callers who are refused come back up to 7 times, after
the time that they were told and up to a half more, if that is before their
deadline; the refused are those who gave up. Hammering, NeverFits and Afterwards
count work of any kind: of a team that offers many times its share, of jobs that
can never run, and of those who arrive after an overload. CoreUndisturbed is the
same load without the first two. Packing is what tasks truly used over what the workers offered while
work arrived, of the resource that was used most. A decision is a start or an
answer; an event may bring several. Bytes are commands, reports and digests between one
scheduler and the racks as encoded; link bytes are those between regions. Rows
are writes to the platform's table.

`

// Options configures Write.
type Options struct {
	Seed uint64
	// Directory is the directory of the page; the plots go into its
	// subdirectory "plots".
	Directory string
	// Log logs the completion of each load.
	Log func(format string, arguments ...any)
}

// Write runs all loads and writes the page and the plots.
func Write(o Options) error {
	plots := filepath.Join(o.Directory, "plots")
	if err := os.MkdirAll(plots, 0o755); err != nil {
		return errors.Annotate(err, "directory of plots")
	}
	var page bytes.Buffer
	fmt.Fprintf(&page, preface, o.Seed)
	var groups [][]Row
	for _, l := range Loads(o.Seed) {
		began := time.Now()
		rows := Measure(l, schedulersFor(l))
		if err := writeSection(&page, plots, rows); err != nil {
			return err
		}
		if !l.Disturbed() {
			groups = append(groups, rows)
		}
		o.Log("Measure: %s took %v.", l.Name, time.Since(began).Round(time.Millisecond))
	}
	if err := writeSmallestCells(&page, o.Seed); err != nil {
		return err
	}
	if err := writeSummary(&page, plots, groups); err != nil {
		return err
	}
	return errors.Annotate(os.WriteFile(filepath.Join(o.Directory, "MEASURES.md"), page.Bytes(), 0o644), "page")
}

// schedulersFor returns the schedulers to measure on a load. If it has work
// that can't run or that exceeds its team's share, baselines other than the
// first are left out: they scan the whole queue on each event, and such work
// fills it.
func schedulersFor(l load.Load) []Scheduler {
	if l.Disturbed() {
		return Schedulers()[:2]
	}
	return Schedulers()
}

// writeSection writes the tables and the plots of one load.
func writeSection(page *bytes.Buffer, plots string, rows []Row) error {
	l := rows[0].Load
	fmt.Fprintf(page, "## %s\n\n%d workers, %d pieces of work in %v.\n\n", l.Name, len(l.Cell.Workers), len(l.Items), l.Length)
	if err := Waits(page, withUndisturbed(rows)); err != nil {
		return err
	}
	if err := Costs(page, rows); err != nil {
		return err
	}
	if err := writeOfflineBound(page, rows); err != nil {
		return err
	}
	for _, class := range plottedClasses(rows) {
		if err := PlotWaits(plots, l, class, rows); err != nil {
			return err
		}
		fmt.Fprintf(page, "![Waits of %s](plots/Waits%s%s.svg)\n\n", class, l.Name, class)
	}
	return nil
}

// withUndisturbed adds the core's result on the same load without the
// disturbing work.
func withUndisturbed(rows []Row) []Row {
	l := rows[0].Load
	if !l.Disturbed() {
		return rows
	}
	quiet := Measure(l.WithoutDisturbance(), []Scheduler{Core()})[0]
	quiet.Scheduler += "Undisturbed"
	return append([]Row{rows[0], quiet}, rows[1:]...)
}

// writeOfflineBound writes the offline bound of a saturated load, if it has
// one.
func writeOfflineBound(page *bytes.Buffer, rows []Row) error {
	l := rows[0].Load
	if !l.Saturated || !HasOfflineBound(l) {
		return nil
	}
	bound, err := OfflineBound(l)
	if err != nil {
		return err
	}
	fmt.Fprintf(page, "No scheduler packs more than %s, even one that knows all arrivals, run times and\ntrue sizes beforehand;", percent(bound))
	for i, row := range rows {
		separator := ","
		if i == 0 {
			separator = ""
		}
		fmt.Fprintf(page, "%s %s reaches %s of that", separator, row.Scheduler, percent(row.Result.Packing()/bound))
	}
	page.WriteString(".\n\n")
	return nil
}

// plottedClasses returns the classes whose waits differ enough between
// schedulers to be plotted: at p99 by more than a factor of 2, with a longest
// wait over 1 s.
func plottedClasses(rows []Row) []load.Class {
	var classes []load.Class
	for _, class := range load.Classes() {
		least, most := time.Duration(0), time.Duration(0)
		for i, row := range rows {
			wait := row.Result.Wait(class, 99)
			if i == 0 || wait < least {
				least = wait
			}
			most = max(most, wait)
		}
		if most > 2*least && most > time.Second {
			classes = append(classes, class)
		}
	}
	return classes
}

// writeSmallestCells writes the sizes of the smallest cells that serve the
// plain loads.
func writeSmallestCells(page *bytes.Buffer, seed uint64) error {
	fmt.Fprintf(page, "## Smallest cell\n\nThe least number of workers on which nothing is refused and the waits at p99 are\nat most %v for urgent work and requests, %v for services and %v for\nother work.\n\n",
		maxWaits[load.Urgent], maxWaits[load.Service], maxWaits[load.Batch])
	t := table{header: []string{"Load"}}
	for _, c := range Schedulers() {
		t.header = append(t.header, c.Name)
	}
	for _, cell := range []load.Cell{load.TrinacriaCell(), load.AsociacionCell()} {
		l := load.Plain(cell, seed)
		cells := []any{l.Name}
		for _, c := range Schedulers() {
			cells = append(cells, formatCellSize(SmallestCell(l, c)))
		}
		t.add(cells...)
	}
	return t.write(page)
}

func formatCellSize(n int) string {
	if n == 0 {
		return "more than 50"
	}
	return strconv.Itoa(n)
}

// writeSummary writes the plots that cover all loads without disturbing work.
func writeSummary(page *bytes.Buffer, plots string, groups [][]Row) error {
	figures := []struct {
		name, title string
		value       func(*virtual.Result) float64
	}{
		{"Packing", "Packing (used over offered)", (*virtual.Result).Packing},
		{"BytesPerStart", "Control bytes per start", func(r *virtual.Result) float64 { return r.PerPlacement(r.Bytes) }},
		{"LinkBytesPerStart", "Link bytes per start", func(r *virtual.Result) float64 { return r.PerPlacement(r.LinkBytes) }},
		{"RowsPerStart", "Store writes per start", func(r *virtual.Result) float64 { return r.PerPlacement(int64(r.Rows)) }},
	}
	page.WriteString("## All loads\n\n")
	for _, f := range figures {
		if err := PlotBars(plots, f.name, f.title, groups, f.value); err != nil {
			return err
		}
		fmt.Fprintf(page, "![%s](plots/%s.svg)\n\n", f.title, f.name)
	}
	return nil
}

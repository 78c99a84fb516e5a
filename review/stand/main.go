// Command stand runs one case of the review: a small deployment of the project's own
// program with stand-ins, and a check of one rule.
package main

import (
	"fmt"
	"os"
	"slices"
	"time"
)

// scenario runs a case in a deployment that it opens.
type scenario func(t *trial) error

// trial is one run of a case.
type trial struct {
	// trouble is false if the case runs without the disruption.
	trouble   bool
	record    *record
	directory string
	cell      *cell
}

func (t *trial) open(hosts, workers int, capacity int64, catalogue []byte, kinds ...string) error {
	if len(kinds) == 0 {
		kinds = []string{"a"}
	}
	c, err := openCell(t.directory, t.record, hosts, workers, capacity, kinds)
	t.cell = c
	if err != nil {
		return err
	}
	c.rows.Put("op", "config", catalogue)
	for i := range hosts {
		if err := c.start(i); err != nil {
			return err
		}
	}
	if c.awaitOwner(10*time.Second) < 0 {
		return fmt.Errorf("no owner after 10 s")
	}
	time.Sleep(2 * time.Second)
	return nil
}

var scenarios = map[string]scenario{
	"size": runSize, "avail": runAvail, "twice": runTwice, "route": runRoute, "long": runLong, "starve": runStarve, "gang": runGang,
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand SCENARIO RECORD")
		return 2
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	t := &trial{trouble: os.Getenv("TROUBLE") != "0", record: r, directory: directory}
	err = scenarios[os.Args[1]](t)
	if t.cell != nil {
		t.cell.close()
		for table, size := range t.cell.largestRow {
			r.line("largest row of table %s: %d bytes", table, size)
		}
	}
	if os.Getenv("KEEP") == "" {
		// The directory is temporary in any case.
		_ = os.RemoveAll(directory)
	} else {
		fmt.Println("logs in", directory)
	}
	r.mu.Lock()
	faults := slices.Clone(r.faults)
	r.mu.Unlock()
	switch {
	case err != nil:
		r.line("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case len(faults) > 0:
		fmt.Printf("rule broken %d times, first: %s\n", len(faults), faults[0])
		return 1
	}
	fmt.Println("rule held")
	return 0
}

// Command stand2 plays one case of a review: it starts the product's own program as separate
// processes among stand-ins on loopback addresses, and exits with 1 if the rule was broken, 0
// if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases holds the cases by name. Each returns what broke the rule, or an error if it could not
// run. REPORT-2.md tells of those that no folder of review/ plays; mix searches at random.
var cases = map[string]func(p play) ([]string, error){
	"route":    routeReturns,
	"gang":     serviceBehindGang,
	"silent":   silentChannel,
	"budget":   waveOverBudget,
	"handover": serviceAcrossHandover,
	"history":  ownerRemoved,
	"mix":      mixed,
	"wave":     waveWaits,
}

// play is what a case gets.
type play struct {
	program, directory string
	log                *record
	// trouble reports whether the disruption is to be made.
	trouble bool
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE PROGRAM RECORD")
		return 2
	}
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(directory)
	} else {
		fmt.Println(directory)
	}
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	p := play{program: program, directory: directory, log: &record{file: file, begun: time.Now()}, trouble: os.Getenv("TROUBLE") != "0"}
	p.log.add("trouble: %t", p.trouble)
	broken, err := cases[os.Args[1]](p)
	switch {
	case err != nil:
		p.log.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case len(broken) > 0:
		for _, text := range broken {
			p.log.add("rule broken: %s", text)
			fmt.Println("broken:", text)
		}
		return 1
	default:
		p.log.add("the rule held")
		fmt.Println("held")
		return 0
	}
}

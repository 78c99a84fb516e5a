//go:build review

// Package stand3 plays the cases of the third review that are scripts.
package stand3_test

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// play plays a case, with its disruption or without, and returns how the rule was broken; "" if it
// held.
type play func(r *record, program string, trouble bool) (string, error)

var plays = map[string]play{}

// TestMain plays the case that the first argument names, and writes its account to the file that
// the second one names.
func TestMain(*testing.M) {
	if len(os.Args) != 4 || plays[os.Args[1]] == nil {
		fmt.Println("usage: stand3 CASE RECORD PROGRAM")
		os.Exit(notRun)
	}
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupts
		started.kill()
		os.Exit(notRun)
	}()
	os.Exit(main(os.Args[1], os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

func main(name, path, program string, trouble bool) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	defer r.file.Close()
	r.add("case", "name", name, "trouble", trouble)
	verdict, err := plays[name](r, program, trouble)
	switch {
	case err != nil && errors.Is(err, errSetup):
		r.add("not run", "why", err)
		fmt.Println(err)
		return notRun
	case verdict != "":
		r.add("BROKEN", "how", verdict)
		fmt.Println("broken:", verdict)
		return broken
	default:
		r.add("held")
		fmt.Println("held")
		return held
	}
}

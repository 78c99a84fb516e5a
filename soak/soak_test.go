package soak_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/soak"
)

// runs are made each time: one with faults of most kinds, and each that has failed, with a
// line on the cause.
var runs = []struct {
	seed      uint64
	length    time.Duration
	takeovers bool
	crashes   bool
	// organisations is the number of organisations of the callers.
	organisations int
	// renames reports whether routes are renamed.
	renames bool
}{
	{seed: 3, length: 20 * time.Second},
	// A host that was paused and replaced as the owner acknowledged cancellations of jobs that
	// its successor had accepted, and cancellations overtook the submissions of their jobs.
	{seed: 3, length: 15 * time.Second, takeovers: true},
	// Workers that had started again under their IDs took leases by the clock of their earlier
	// lives, and ran tasks on that the owner had started elsewhere.
	{seed: 14, length: 20 * time.Second, crashes: true},
	// Keys are withdrawn and added, and limits change, among faults of most kinds. Without the
	// runs of earlier owners in what counts against a limit, QUOTA is violated.
	{seed: 4, length: 20 * time.Second, organisations: 3},
	// Accepted jobs ran no further step once their route had another name.
	{seed: 5, length: 15 * time.Second, renames: true},
}

// Six hosts in separate processes keep the rules while faults overlap. Long runs are made
// by cmd/soak.
func TestSoak(t *testing.T) {
	for _, run := range runs {
		seed := run.seed
		report, err := soak.Run(context.Background(), soak.Options{
			Seed: seed, Length: run.length, Takeovers: run.takeovers, Crashes: run.crashes, Hosts: 6, Workers: 8, Callers: 16, Organisations: run.organisations, Limits: run.organisations > 0, Renames: run.renames,
			Program: []string{os.Args[0], "front"}, Directory: t.TempDir(),
		})
		qt.Assert(t, err, qt.IsNil)
		t.Logf("seed %d: %d faults, %d jobs, %d starts, %s", seed, len(report.Disruptions), report.Jobs, report.Starts, report.Took)
		if report.Violation == nil {
			qt.Check(t, report.Accepted > 0 && report.Starts > 0, qt.IsTrue)
			qt.Check(t, report.Unauthorised > 0, qt.Equals, run.organisations > 0)
			// Without connections over the links, the faults of links would have no effect.
			qt.Check(t, report.StoreConnections > 0 && report.WorkerConnections > 0 && report.HostConnections > 0, qt.IsTrue)
			continue
		}
		path := filepath.Join(os.TempDir(), "soak-failed.json")
		qt.Check(t, report.Write(path), qt.IsNil)
		t.Errorf("seed %d: %s at %s: %s; the report is %s", seed, report.Violation.Rule, report.Violation.At, report.Violation.Text, path)
	}
}

// Guards against two runs on the same addresses, of which the second can't be made.
func TestRunsAtTheSameTime(t *testing.T) {
	errs := make(chan error)
	for seed := range uint64(2) {
		directory := t.TempDir()
		go func() {
			_, err := soak.Run(context.Background(), soak.Options{
				Seed: seed, Length: time.Second, Hosts: 1, Workers: 1, Callers: 1,
				Program: []string{os.Args[0], "front"}, Directory: directory,
			})
			errs <- err
		}()
	}
	for range 2 {
		qt.Check(t, <-errs, qt.IsNil)
	}
}

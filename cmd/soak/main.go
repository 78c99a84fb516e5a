// Command soak runs entry hosts as processes with stand-ins for the rest of the platform,
// injects faults drawn from a seed, and checks the rules of the users' platform. Its exit
// status is 1 if a rule was violated and 2 if the run could not be completed.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/soak"
)

// Exit statuses.
const (
	exitViolation = 1
	exitError     = 2
)

// command holds the flags of the command line.
type command struct {
	Seed          uint64        `help:"Seed of the faults and of the callers." default:"1"`
	Length        time.Duration `help:"How long faults are made." default:"30s"`
	Hosts         int           `help:"How many entry hosts run, each a process." default:"6"`
	Workers       int           `help:"How many workers there are." default:"8"`
	Callers       int           `help:"How many callers there are." default:"16"`
	Takeovers     bool          `help:"Make takeovers in short succession only." xor:"faults"`
	Crashes       bool          `help:"Make workers start again under their IDs and become unreachable only." xor:"faults"`
	Organisations int           `help:"To how many organisations with keys the callers belong; 0 means that calls need no key."`
	Limits        bool          `help:"Give the organisations limits, which change and are checked."`
	Renames       bool          `help:"Replace routes by ones of other names at the same paths while jobs of theirs run."`
	Program       string        `help:"The program under test." default:"target/vanillaquay" type:"existingfile"`
	Report        string        `help:"File that takes the report." default:"target/soak.json" type:"path"`
	Directory     string        `help:"Directory that takes the settings and logs of the hosts; by default a temporary one, which is kept when a rule is broken." type:"path"`
	Verbose       bool          `help:"Log each fault."`
}

func main() {
	var c command
	kong.Parse(&c, kong.Name("soak"), kong.Description("Disturbs entry hosts and checks the rules of the users' platform."))
	os.Exit(c.run())
}

// run executes the soak run and returns the exit status.
func (c command) run() int {
	if c.Verbose {
		logrus.SetLevel(logrus.DebugLevel)
	}
	directory, err := c.makeDirectory()
	if err != nil {
		logrus.WithError(err).Error("soak: directory not created")
		return exitError
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := soak.Run(ctx, soak.Options{
		Seed: c.Seed, Length: c.Length, Hosts: c.Hosts, Workers: c.Workers, Callers: c.Callers, Takeovers: c.Takeovers, Crashes: c.Crashes,
		Organisations: c.Organisations, Limits: c.Limits, Renames: c.Renames,
		Program: []string{c.Program, "front"}, Directory: directory,
	})
	if err != nil {
		logrus.WithError(err).WithField("directory", directory).Error("soak: run not completed")
		return exitError
	}
	if err := report.Write(c.Report); err != nil {
		logrus.WithError(err).Error("soak: report not written")
		return exitError
	}
	fields := logrus.Fields{
		"seed": c.Seed, "faults": len(report.Disruptions), "jobs": report.Jobs, "accepted": report.Accepted, "rejected": report.Rejected,
		"cancelled": report.Cancelled, "starts": report.Starts, "unauthorised": report.Unauthorised, "calls": report.Calls, "took": report.Took,
	}
	if report.Violation != nil {
		logrus.WithFields(fields).WithFields(logrus.Fields{"report": c.Report, "directory": directory}).Error("soak: a rule was violated")
		return exitViolation
	}
	logrus.WithFields(fields).Info("soak: no rule was violated")
	if c.Directory == "" {
		if err := os.RemoveAll(directory); err != nil {
			logrus.WithError(err).Warn("soak: directory not removed")
		}
	}
	return 0
}

// makeDirectory creates the directory of the run, a temporary one if none is given, and
// returns its path.
func (c command) makeDirectory() (string, error) {
	if c.Directory == "" {
		return os.MkdirTemp("", "soak-")
	}
	return c.Directory, os.MkdirAll(c.Directory, 0o700)
}

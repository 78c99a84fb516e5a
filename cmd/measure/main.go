// Command measure measures the scheduling decisions and the slopes of the control
// cost.
package main

import (
	"os"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/report"
	"github.com/vanillaquay/vanillaquay/slope"
)

// commands are the subcommands.
type commands struct {
	Run    runCommand    `cmd:"" help:"Run all loads and write the page of measures with its plots."`
	Slopes slopesCommand `cmd:"" help:"Measure the slopes of the page of capacity and print them."`
}

// runCommand writes docs/MEASURES.md.
type runCommand struct {
	Seed uint64 `help:"Seed of the loads." default:"1"`
	Out  string `help:"Directory of the page." default:"docs" type:"path"`
}

// Run measures all loads and writes the page.
func (c runCommand) Run() error {
	logrus.Infof("Measure: the seed is %d.", c.Seed)
	return report.Write(report.Options{Seed: c.Seed, Directory: c.Out, Log: logrus.Infof})
}

// slopesCommand prints the slopes of the control cost.
type slopesCommand struct{}

// Run measures the slopes and prints them.
func (slopesCommand) Run() error { return slope.Print(os.Stdout) }

func main() {
	parsed := kong.Parse(&commands{}, kong.Description("Measures the decisions of vanillaquay."))
	parsed.FatalIfErrorf(parsed.Run())
}

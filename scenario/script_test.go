package scenario_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/vanillaquay/vanillaquay/cli"
	"github.com/vanillaquay/vanillaquay/platformstandin"
	"github.com/vanillaquay/vanillaquay/workerstandin"
)

// maxParallelCells bounds the scenarios that run in parallel: each is a cell of a
// dozen processes, whose leases must not lapse for lack of processor time.
const maxParallelCells = "4"

func TestMain(m *testing.M) {
	if err := flag.Set("test.parallel", maxParallelCells); err != nil {
		panic(err)
	}
	testscript.Main(m, map[string]func(){
		"vanillaquay":     func() { os.Exit(cli.Run(os.Args[1:])) },
		"platformstandin": func() { var c platformstandin.Command; runStandin(&c) },
		"workerstandin":   func() { var c workerstandin.Command; runStandin(&c) },
	})
}

func runStandin(command any) {
	k := kong.Parse(command)
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: func(e *testscript.Env) error { return newCell(e) },
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"cell":        cellCommand,
			"start":       startCommand,
			"signal":      signalCommand,
			"stopped":     stoppedCommand,
			"faults":      faultsCommand,
			"audit":       auditCommand,
			"eventually":  eventuallyCommand,
			"settled":     settledCommand,
			"examples":    examplesCommand,
			"certificate": certificateCommand,
			"network":     networkCommand,
			"load":        loadCommand,
			"check":       checkCommand,
			"reached":     reachedCommand,
			"usage":       usageCommand,
			"mark":        markCommand,
			"served":      servedCommand,
			"host":        hostCommand,
			"operators":   operatorsCommand,
			"abuse":       abuseCommand,
			"meanwhile":   meanwhileCommand,
			"owner":       ownerCommand,
			"contest":     contestCommand,
			"concurrent":  concurrentCommand,
			"takenover":   takenoverCommand,
		},
	})
}

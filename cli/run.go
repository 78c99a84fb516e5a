package cli

import (
	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"
)

// commands holds the subcommands of the command line.
type commands struct {
	Serve     serveCommand     `cmd:"" group:"hosts" help:"Run an entry host."`
	Front     frontCommand     `cmd:"" group:"hosts" help:"Run an entry host on the users' platform."`
	Check     checkCommand     `cmd:"" group:"hosts" help:"Check settings without starting anything."`
	Submit    submitCommand    `cmd:"" group:"callers" help:"Submit a piece of work."`
	Status    statusCommand    `cmd:"" group:"callers" help:"Ask what became of a piece of work."`
	Answer    answerCommand    `cmd:"" group:"callers" help:"Wait for the final answer to a piece of work."`
	Cancel    cancelCommand    `cmd:"" group:"callers" help:"End a piece of work."`
	Show      showCommand      `cmd:"" group:"operators" help:"Print the configuration."`
	Diff      diffCommand      `cmd:"" group:"operators" help:"Compare a file with the configuration."`
	Apply     applyCommand     `cmd:"" group:"operators" help:"Replace the configuration."`
	Quota     quotaCommand     `cmd:"" group:"operators" help:"Show or change what is set for a team."`
	Drain     drainCommand     `cmd:"" group:"operators" help:"Keep new work from a worker or an entry host."`
	Undrain   undrainCommand   `cmd:"" group:"operators" help:"Take a drain back."`
	Dump      dumpCommand      `cmd:"" group:"operators" help:"Print the state of a process."`
	Explain   explainCommand   `cmd:"" group:"hosts" help:"Tell where a job would run now, or what it waits for."`
	Breakdown breakdownCommand `cmd:"" group:"hosts" help:"Tell from logs where jobs spent their time."`
	Demo      demoCommand      `cmd:"" help:"Show a whole cell at work in one process."`

	InstallCompletions kongplete.InstallCompletions `cmd:"" help:"Print or install completion for the shell."`
}

// description is printed above the list of subcommands.
const description = `A cluster scheduler for services, batch runs and jobs that start all at once.

Exit codes: 0 done, 1 error, 2 bad input or token, 3 not run or no effect,
4 outcome not known, 5 ran and failed, 6 another operator was faster.`

// groups holds the headings of the list of subcommands.
var groups = kong.Groups{
	"hosts": "Entry hosts", "callers": "Callers", "operators": "Operators",
}

// Run executes one command line and returns its exit code.
func Run(arguments []string) int {
	hangups := catchHangups(arguments)
	var c commands
	parser, err := kong.New(&c, kong.Name("vanillaquay"), kong.Description(description), groups)
	if err != nil {
		panic(err)
	}
	kongplete.Complete(parser)
	context, err := parser.Parse(arguments)
	if err != nil {
		parser.Errorf("%s", err)
		return exitUsage
	}
	return reportError(context.Run(hangups))
}

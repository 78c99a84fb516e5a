package cli

import (
	"fmt"
	"os"

	"github.com/juju/errors"
)

// Exit codes of every subcommand.
const (
	exitOK = 0
	// exitError means an error of the program or its environment.
	exitError = 1
	// exitUsage means an invalid command line, input or token.
	exitUsage = 2
	// exitNotRun means that the work did not run or the change has no effect;
	// a retry may succeed.
	exitNotRun = 3
	// exitUnknown means that the outcome is unknown.
	exitUnknown = 4
	// exitFailed means that the work ran and failed.
	exitFailed = 5
	// exitConflict means that another operator changed the configuration first.
	exitConflict = 6
)

// codedError is an error with an exit code of its own.
type codedError struct {
	code int
	error
}

// reportError prints an error to the standard error and returns its exit code.
func reportError(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "vanillaquay:", err)
	var coded codedError
	if errors.As(err, &coded) {
		return coded.code
	}
	return exitError
}

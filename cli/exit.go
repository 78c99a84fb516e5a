package cli

import (
	"fmt"
	"os"

	"github.com/juju/errors"
)

// Exit codes of every subcommand.
const (
	exitOK = 0
	// exitError is an error of the program or its surroundings.
	exitError = 1
	// exitUsage is a bad command line, a bad input or a bad token.
	exitUsage = 2
	// exitNotRun tells that the work did not run or the change has no effect;
	// a later try may succeed.
	exitNotRun = 3
	// exitUnknown tells that the outcome is not known.
	exitUnknown = 4
	// exitFailed tells that the work ran and failed.
	exitFailed = 5
	// exitConflict tells that another operator was faster.
	exitConflict = 6
)

// codedError is an error with an exit code of its own.
type codedError struct {
	code int
	error
}

// reportError prints an error and returns the exit code for it.
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

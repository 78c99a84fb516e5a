// Command vanillaquay is the scheduler. It runs an entry host, and it is the
// command-line client for callers and operators.
package main

import (
	"os"

	"github.com/vanillaquay/vanillaquay/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:]))
}

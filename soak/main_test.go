package soak_test

import (
	"os"
	"testing"

	"github.com/vanillaquay/vanillaquay/cli"
)

// TestMain lets the test binary act as the program, so that hosts can be separate
// processes.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "front" {
		os.Exit(cli.Run(os.Args[1:]))
	}
	os.Exit(m.Run())
}

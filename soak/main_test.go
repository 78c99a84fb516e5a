package soak_test

import (
	"os"
	"testing"

	"github.com/vanillaquay/vanillaquay/cli"
)

// TestMain lets the test program stand for the real one, so that hosts can be processes
// of their own.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "front" {
		os.Exit(cli.Run(os.Args[1:]))
	}
	os.Exit(m.Run())
}

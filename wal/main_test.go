package wal_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// seed is the seed of every property test unless the flag -rapid.seed sets another.
const seed = "20260411"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set(seed); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	fmt.Printf("seed of properties: %s\n", flag.Lookup("rapid.seed").Value)
	goleak.VerifyTestMain(m)
}

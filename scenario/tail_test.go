package scenario_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// tailLines is the number of log lines per process that a failed check prints.
const tailLines = 20

// logTails prints the last log lines of the platform and each entry host, so that a
// rare failure can be traced.
func (c *cell) logTails(ts *testscript.TestScript) {
	for _, name := range append([]string{"platform"}, c.entries...) {
		data, err := os.ReadFile(filepath.Join(c.dir, name+".log"))
		ts.Check(err)
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		ts.Logf("%s logged last:\n%s", name, strings.Join(lines[max(0, len(lines)-tailLines):], "\n"))
	}
}

// fatalf prints the log tails and fails the scenario.
func (c *cell) fatalf(ts *testscript.TestScript, format string, args ...any) {
	c.logTails(ts)
	ts.Fatalf("%s", fmt.Sprintf(format, args...))
}

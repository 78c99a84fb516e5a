package lines_test

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/lines"
)

// blockedOutput is an output whose writes block until it is opened.
type blockedOutput struct {
	open chan struct{}
	bytes.Buffer
}

func (b *blockedOutput) Write(data []byte) (int, error) {
	<-b.open
	return b.Buffer.Write(data)
}

func TestLinesAreWritten(t *testing.T) {
	var out bytes.Buffer
	w := lines.New(&out)
	for _, line := range []string{"a\n", "b\n"} {
		_, err := w.Write([]byte(line))
		qt.Assert(t, err, qt.IsNil)
	}
	w.Close()
	qt.Assert(t, out.String(), qt.Equals, "a\nb\n")
}

// An output that nobody reads must not block the code that logs; dropped lines are counted.
func TestBlockedOutputDoesNotBlockWriter(t *testing.T) {
	out := &blockedOutput{open: make(chan struct{})}
	w := lines.New(out)
	for range 50_000 {
		_, err := w.Write([]byte("a line that is long enough to fill the buffer soon\n"))
		qt.Assert(t, err, qt.IsNil)
	}
	close(out.open)
	w.Close()
	qt.Assert(t, strings.Contains(out.String(), "lines: dropped"), qt.IsTrue)
}

package demo_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/vanillaquay/vanillaquay/demo"
)

// maxDuration bounds the duration of the demo.
const maxDuration = 20 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func TestDemoChecksHold(t *testing.T) {
	var out bytes.Buffer
	started := time.Now()
	err := demo.Run(&out, io.Discard)
	http.DefaultClient.CloseIdleConnections()
	t.Logf("\n%s", out.String())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, time.Since(started) < maxDuration, qt.IsTrue)
	for _, text := range []string{"has stopped", "is lost", "AllAtOnce", "Service", "Batch"} {
		qt.Check(t, out.String(), qt.Contains, text)
	}
	qt.Assert(t, strings.Count(out.String(), "holds: "), qt.Equals, 8)
}

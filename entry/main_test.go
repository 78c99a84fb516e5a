package entry_test

import (
	"net/http"
	"testing"

	"go.uber.org/goleak"
)

// TestMain checks that no goroutine of a host outlives the tests.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(closing{m})
}

// closing closes the idle connections of the tests' HTTP client after the run.
type closing struct{ *testing.M }

func (c closing) Run() int {
	defer http.DefaultClient.CloseIdleConnections()
	return c.M.Run()
}

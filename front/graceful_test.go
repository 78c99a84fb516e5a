package front_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
)

// A host stops while callers keep using their connections to it. Each call that it has read
// must get a complete response, whether the host owns the cell or not.
func TestGracefulStopAnswersReadCalls(t *testing.T) {
	for _, owns := range []bool{true, false} {
		t.Run(fmt.Sprintf("Owner%t", owns), func(t *testing.T) {
			d := deploy(t, 3, 4, 200*time.Millisecond)
			leaving := d.owner()
			if !owns {
				leaving = d.other(leaving)
			}
			d.submit(leaving, "plain", 0, 1)
			const callers = 6
			answered := make([]int, callers)
			var group sync.WaitGroup
			for n := range callers {
				group.Add(1)
				go func() {
					defer group.Done()
					answered[n] = d.callUntilClosed(t, leaving, 1000*(n+1))
				}()
			}
			time.Sleep(500 * time.Millisecond)
			qt.Assert(t, leaving.command.Process.Signal(syscall.SIGTERM), qt.IsNil)
			<-leaving.done
			group.Wait()
			for _, count := range answered {
				qt.Check(t, count > 0, qt.IsTrue)
			}
			qt.Assert(t, leaving.command.ProcessState.ExitCode(), qt.Equals, 0)
			qt.Assert(t, d.monitor.Faults(), qt.HasLen, 0)
		})
	}
}

// callUntilClosed submits jobs, one after another, until no connection to the host can be
// opened, and returns how many calls were answered.
func (d *deployment) callUntilClosed(t *testing.T, h *hostProcess, first int) int {
	client := &http.Client{Transport: &http.Transport{}, Timeout: deadline}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		// The type hides the body from the client, which can't resend it unnoticed.
		request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", h.ip, callerPort, path("plain", first+n)), struct{ *strings.Reader }{strings.NewReader(jobBody(1))})
		qt.Check(t, err, qt.IsNil)
		request.Host = "a.example"
		answer, err := client.Do(request)
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			return n
		}
		if err != nil {
			t.Errorf("call %d failed: %v", first+n, err)
			return n
		}
		_ = answer.Body.Close()
		qt.Check(t, answer.StatusCode, qt.Equals, http.StatusOK)
	}
}

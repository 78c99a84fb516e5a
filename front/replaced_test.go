package front_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// maxCancelDelay is the platform's bound cancel_ms.
const maxCancelDelay = 3 * time.Second

// The owner is paused and another host takes the cell and accepts a job. The kernel of the
// paused host accepts a call to cancel that job, which is handled when the process continues,
// before it knows that it was replaced. If it answers 410, the job runs on after a
// cancellation that was acknowledged (UNASKED).
func TestPausedOwnerDoesNotAcknowledgeCancellation(t *testing.T) {
	d := deploy(t, 3, 2, 30*time.Second)
	d.submit(d.hosts[0], "plain", 1, 1)
	acknowledgements := 0
	for round := range 4 {
		paused := d.owner()
		qt.Assert(t, paused, qt.IsNotNil)
		qt.Assert(t, paused.command.Process.Signal(syscall.SIGSTOP), qt.IsNil)
		other := d.other(paused)
		job := 10 + round
		d.submit(other, "plain", job, 1)
		status := make(chan int, 1)
		go func() {
			s, _ := d.call(paused, http.MethodDelete, path("plain", job), "")
			status <- s
		}()
		// The call reaches the kernel of the paused host.
		time.Sleep(100 * time.Millisecond)
		qt.Assert(t, paused.command.Process.Signal(syscall.SIGCONT), qt.IsNil)
		if s := <-status; s != http.StatusOK && s != http.StatusGone {
			continue
		}
		acknowledgements++
		acknowledged := time.Now()
		d.await("the job is cancelled", func() bool {
			_, body := d.call(other, http.MethodGet, path("plain", job), "")
			return body == "{\"state\":\"cancelled\"}\n" || time.Since(acknowledged) > maxCancelDelay
		})
		_, body := d.call(other, http.MethodGet, path("plain", job), "")
		qt.Assert(t, body, qt.Equals, "{\"state\":\"cancelled\"}\n", qt.Commentf("round %d", round))
	}
	qt.Assert(t, acknowledgements > 0, qt.IsTrue)
}

// The owner is cut off from the store alone and another host takes the cell. As soon as the
// first hears of its successor it must forward calls to it: none of its own transactions ends
// while it is cut off, so that callers connected to it would get no answer.
func TestOwnerCutOffFromStoreForwardsCallsToItsSuccessor(t *testing.T) {
	c := qt.New(t)
	d, proxies := deployBehindProxies(t, []string{"r", "r", "r"}, 2, 30*time.Second)
	for n, h := range d.hosts {
		d.submit(h, "plain", n, 1)
	}
	cut := d.owner()
	for n, h := range d.hosts {
		if h == cut {
			proxies[n].Cut(true)
		}
	}
	other := d.other(cut)
	d.submit(other, "plain", 10, 1)
	for n, want := range []int{http.StatusOK, http.StatusOK, http.StatusGone} {
		begun := time.Now()
		status, _ := d.call(cut, []string{http.MethodGet, http.MethodDelete, http.MethodGet}[n], path("plain", []int{10, 10, 11}[n]), "")
		c.Check(status, qt.Equals, want, qt.Commentf("call %d", n))
		c.Check(time.Since(begun) < time.Second, qt.IsTrue, qt.Commentf("call %d took %s", n, time.Since(begun)))
	}
	_, body := d.call(other, http.MethodGet, path("plain", 10), "")
	c.Assert(body, qt.Equals, "{\"state\":\"cancelled\"}\n")
}

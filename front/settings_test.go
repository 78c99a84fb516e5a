package front_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/platform"
)

// rewrite modifies the settings file of a host.
func (d *deployment) rewrite(h *hostProcess, change func(settings map[string]any)) {
	content, err := os.ReadFile(h.settings)
	qt.Assert(d.t, err, qt.IsNil)
	var settings map[string]any
	qt.Assert(d.t, json.Unmarshal(content, &settings), qt.IsNil)
	change(settings)
	content, err = json.Marshal(settings)
	qt.Assert(d.t, err, qt.IsNil)
	qt.Assert(d.t, os.WriteFile(h.settings, content, 0o600), qt.IsNil)
}

// statusKept returns how long a host keeps the state of finished jobs according to its
// settings in force, or 0 if it does not respond.
func (d *deployment) statusKept(h *hostProcess) time.Duration {
	var dump struct{ Settings platform.Settings }
	r, err := http.Get(fmt.Sprintf("http://%s:9464/dump", h.ip))
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	qt.Check(d.t, json.NewDecoder(r.Body).Decode(&dump), qt.IsNil)
	return dump.Settings.StatusKept
}

// The settings change while a host starts: the signal must not end it, though it has not read
// its settings yet.
func TestHangupDuringStartDoesNotEndTheHost(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "settings")
	c.Assert(syscall.Mkfifo(path, 0o600), qt.IsNil)
	host := exec.Command(os.Args[0], "front", "--check")
	host.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	c.Assert(host.Start(), qt.IsNil)
	// The pipe can be opened once the host reads it.
	settings, err := os.OpenFile(path, os.O_WRONLY, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(host.Process.Signal(syscall.SIGHUP), qt.IsNil)
	_, err = settings.WriteString("not settings")
	c.Assert(err, qt.IsNil)
	c.Assert(settings.Close(), qt.IsNil)
	_ = host.Wait()
	c.Assert(host.ProcessState.Exited(), qt.IsTrue, qt.Commentf("the host was ended: %v", host.ProcessState))
}

// The settings files change while hosts run, with and without a signal. The owner hands the
// cell over to apply the new settings; an invalid file changes nothing, and no job is lost.
func TestReconfigureRunningHosts(t *testing.T) {
	d := deploy(t, 3, 4, 300*time.Millisecond)
	d.submit(d.hosts[0], "plain", 1, 4)
	setStatus := func(seconds any) func(map[string]any) {
		return func(s map[string]any) { s["bounds"].(map[string]any)["status_s"] = seconds }
	}
	first := d.owner()
	for _, h := range d.hosts {
		d.rewrite(h, setStatus(60))
	}
	qt.Assert(t, d.other(first).command.Process.Signal(syscall.SIGHUP), qt.IsNil)
	d.await("the new settings on all hosts", func() bool {
		for _, h := range d.hosts {
			if d.statusKept(h) != time.Minute {
				return false
			}
		}
		return true
	})
	d.await("the tenure under the old settings ended", func() bool { return strings.Contains(first.output.String(), "tenure ended") })
	d.submit(d.hosts[1], "plain", 2, 4)

	d.rewrite(first, func(s map[string]any) { delete(s, "ip") })
	d.await("a warning", func() bool { return strings.Contains(first.output.String(), "settings not read") })
	qt.Assert(t, d.statusKept(first), qt.Equals, time.Minute)
	d.submit(first, "plain", 3, 4)
	d.awaitDone(first, "plain", 1, 4)
}

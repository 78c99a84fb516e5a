package workerstandin_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workerstandin"
)

// send calls a worker and returns the HTTP status.
func send(t *testing.T, r *workerstandin.Runner, path string, body map[string]any) int {
	content, err := json.Marshal(body)
	qt.Assert(t, err, qt.IsNil)
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/vanillaquay/"+path, strings.NewReader(string(content))))
	return w.Code
}

// eventKinds returns the recorded events as their kinds, followed by how a run ended.
func eventKinds(m *workerstandin.Monitor) []string {
	var list []string
	for _, e := range m.EventsAfter(0) {
		list = append(list, strings.TrimSpace(string(e.Kind)+" "+e.How))
	}
	return list
}

// A run must end as its specification says, and its events must be recorded in order.
func TestRunnerFollowsTheSpecification(t *testing.T) {
	b := workerstandin.Behaviour{RunTime: "1ms", Used: &task.Size{Processors: 700}, FailingRuns: 1}
	spec, err := b.Payload()
	qt.Assert(t, err, qt.IsNil)
	monitor := &workerstandin.Monitor{}
	r := &workerstandin.Runner{ID: "w1", Capacity: 1000, Monitor: monitor, Length: time.Hour, Size: 100}
	r.Start()
	for run := 1; run <= 2; run++ {
		start := map[string]any{"task": "a.0.0.0", "run": run, "fence": 1, "until_ms": 60000, "spec": string(spec)}
		qt.Assert(t, send(t, r, "run-start", start), qt.Equals, http.StatusOK)
		qt.Assert(t, send(t, r, "hold", map[string]any{"fence": 1, "last_seen": run - 1, "wait_ms": 2000}), qt.Equals, http.StatusOK)
		qt.Assert(t, send(t, r, "hold", map[string]any{"fence": 1, "last_seen": run}), qt.Equals, http.StatusOK)
	}
	qt.Assert(t, eventKinds(monitor), qt.DeepEquals, []string{
		"RunBegan", "RunEnded failed", "EndNoted failed", "RunBegan", "RunEnded done", "EndNoted done",
	})
}

// Two runs of 700 exceed a capacity of 1000: the second start must be recorded as
// overcommitted. A restart of the worker ends both.
func TestRunnerReportsOvercommitment(t *testing.T) {
	b := workerstandin.Behaviour{Used: &task.Size{Processors: 700}}
	spec, err := b.Payload()
	qt.Assert(t, err, qt.IsNil)
	monitor := &workerstandin.Monitor{}
	r := &workerstandin.Runner{ID: "w1", Capacity: 1000, Monitor: monitor, Length: time.Hour, Size: 100}
	r.Start()
	for _, name := range []string{"a.0.0.0", "a.0.0.1"} {
		start := map[string]any{"task": name, "run": 1, "fence": 1, "until_ms": 60000, "spec": string(spec)}
		qt.Assert(t, send(t, r, "run-start", start), qt.Equals, http.StatusOK)
	}
	events := monitor.EventsAfter(0)
	qt.Assert(t, events, qt.HasLen, 2)
	qt.Assert(t, events[0].Over, qt.IsFalse)
	qt.Assert(t, events[1].Over, qt.IsTrue)
	r.Restart()
	qt.Assert(t, eventKinds(monitor)[2:], qt.DeepEquals, []string{"RunGone", "RunGone", "LifeEnded"})
}

// A real worker's connections end with its process. If those of the stand-in outlived a restart, a
// call for its earlier life would be carried out by the next one, which no client can prevent.
func TestRunnersConnectionsEndWithItsLife(t *testing.T) {
	r := &workerstandin.Runner{ID: "w1", Capacity: 1000, Monitor: &workerstandin.Monitor{}, Length: time.Hour, Size: 100}
	r.Start()
	server := httptest.NewServer(r.Handler())
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	hold := func(wait int) error {
		answer, err := client.Post(server.URL+"/vanillaquay/hold", "application/json", strings.NewReader(fmt.Sprintf(`{"fence":1,"wait_ms":%d}`, wait)))
		if err != nil {
			return err
		}
		defer answer.Body.Close()
		// A connection is kept open only if the response was read to its end.
		_, err = io.Copy(io.Discard, answer.Body)
		return err
	}
	qt.Assert(t, hold(0), qt.IsNil)
	waiting := make(chan error)
	go func() { waiting <- hold(300) }()
	time.Sleep(50 * time.Millisecond)
	r.Restart()
	qt.Assert(t, <-waiting, qt.IsNotNil)
	qt.Assert(t, hold(0), qt.IsNil)
	r.Restart()
	qt.Assert(t, hold(0), qt.IsNotNil)
	qt.Assert(t, hold(0), qt.IsNil)
}

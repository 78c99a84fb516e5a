package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/caller"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/quantity"
	"github.com/vanillaquay/vanillaquay/settings"
	"github.com/vanillaquay/vanillaquay/task"
)

const work = `{"ID": "hold-1", "Kind": "Request", "Size": {"Processors": 0.5, "Memory": "64MiB"}, "FirstTry": true}`

// fakeOwner answers calls as the owner of all partitions.
type fakeOwner struct {
	// blocking makes a waiting call block until its context ends.
	blocking bool
	calls    atomic.Int32
	lastWork atomic.Pointer[task.Work]
}

func (o *fakeOwner) Call(ctx context.Context, _ peer.CallVerb, key task.Key, w task.Work, wait bool) (task.Answer, error) {
	o.calls.Add(1)
	o.lastWork.Store(&w)
	if !wait {
		return task.Answer{Team: key.Team, ID: key.ID, State: task.Accepted}, nil
	}
	if o.blocking {
		<-ctx.Done()
		return task.Answer{}, ctx.Err()
	}
	return task.Answer{Team: key.Team, ID: key.ID, State: task.Ran, Bodies: [][]byte{[]byte("seat 4")}}, nil
}

// testServer serves callers, with all work owned by a fakeOwner.
type testServer struct {
	*httptest.Server
	owner    *fakeOwner
	stopping chan struct{}
}

func newTestServer(t *testing.T, o *fakeOwner, limit func(*settings.Limits)) testServer {
	s := settings.Settings{Teams: map[string]settings.Team{"domes": {Token: "t-domes"}, "plants": {Token: "t-plants"}}}.WithDefaults()
	if limit != nil {
		limit(&s.Limits)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ts := testServer{owner: o, stopping: make(chan struct{})}
	ts.Server = httptest.NewServer(caller.Handler(caller.Options{Settings: s, Region: "centro", Owners: o, Stopping: ts.stopping, Log: log}))
	t.Cleanup(ts.Close)
	return ts
}

// send makes a request as a team and returns the status, answer and header.
func (ts testServer) send(t *testing.T, method, path, team, body string) (int, caller.Answer, http.Header) {
	request, err := http.NewRequest(method, ts.URL+path, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer t-"+team)
	response, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	var a caller.Answer
	qt.Assert(t, json.NewDecoder(response.Body).Decode(&a), qt.IsNil)
	return response.StatusCode, a, response.Header
}

func TestBadRequestsHaveDistinctCodes(t *testing.T) {
	ts := newTestServer(t, &fakeOwner{}, nil)
	for _, test := range []struct {
		name, method, path, team, body string
		status                         int
		code                           string
		state                          task.State
	}{
		{"token", "POST", "/v1/work/", "nobody", work, 401, caller.CodeBadToken, task.Unknown},
		{"torn", "POST", "/v1/work/", "domes", work[:30], 400, caller.CodeBadBody, task.NotRun},
		{"field", "POST", "/v1/work/", "domes", `{"IDs": "a"}`, 400, caller.CodeBadBody, task.NotRun},
		{"team", "POST", "/v1/work/", "domes", `{"Team": "plants", "ID": "a"}`, 400, caller.CodeBadBody, task.NotRun},
		{"unit", "POST", "/v1/work/", "domes", strings.Replace(work, "64MiB", "64MB", 1), 400, caller.CodeBadBody, task.NotRun},
		{"kind", "POST", "/v1/work/", "domes", strings.Replace(work, "Request", "Cron", 1), 400, caller.CodeBadWork, task.NotRun},
		{"large", "POST", "/v1/work/", "domes", strings.Repeat(" ", 3<<20), 413, caller.CodeBodyTooLarge, task.NotRun},
		{"route", "GET", "/v2/", "domes", "", 404, caller.CodeNoRoute, task.Unknown},
	} {
		status, a, _ := ts.send(t, test.method, test.path, test.team, test.body)
		qt.Check(t, status, qt.Equals, test.status, qt.Commentf("%s", test.name))
		qt.Check(t, a.Code, qt.Equals, test.code, qt.Commentf("%s", test.name))
		qt.Check(t, a.State, qt.Equals, test.state, qt.Commentf("%s", test.name))
		qt.Check(t, a.Reason, qt.Matches, `(?s)[A-Z].*\.`, qt.Commentf("%s", test.name))
	}
	qt.Assert(t, ts.owner.calls.Load(), qt.Equals, int32(0))
	status, a, _ := ts.send(t, "POST", "/v1/work/", "domes", work)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, string(a.Bodies[0]), qt.Equals, "seat 4")
	qt.Assert(t, ts.owner.lastWork.Load().Size, qt.Equals, task.Size{Processors: 500, Memory: 64 * task.Mebibyte})
}

// dial opens a connection and sends the header of a submission whose body has the given
// length.
func (ts testServer) dial(t *testing.T, length int64) net.Conn {
	connection, err := net.Dial("tcp", ts.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { connection.Close() })
	fmt.Fprintf(connection, "POST /v1/work/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer t-domes\r\nContent-Length: %d\r\n\r\n", length)
	return connection
}

func TestTooLargeBodyIsRejectedUnread(t *testing.T) {
	ts := newTestServer(t, &fakeOwner{}, nil)
	connection := ts.dial(t, 1<<30)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	qt.Assert(t, err, qt.IsNil)
	response.Body.Close()
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
}

func TestSlowSenderTimesOutWithoutBlockingOthers(t *testing.T) {
	ts := newTestServer(t, &fakeOwner{}, func(l *settings.Limits) { l.BodyTimeout = quantity.Duration(300 * time.Millisecond) })
	connection := ts.dial(t, 100)
	fmt.Fprint(connection, `{"ID":`)
	status, _, _ := ts.send(t, "POST", "/v1/work/", "plants", work)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusRequestTimeout)
	var a caller.Answer
	qt.Assert(t, json.NewDecoder(response.Body).Decode(&a), qt.IsNil)
	qt.Assert(t, a.Code, qt.Equals, caller.CodeBodyTimeout)
	qt.Assert(t, a.State, qt.Equals, task.NotRun)
}

func TestTeamOverRateLimitGetsRetryAfter(t *testing.T) {
	ts := newTestServer(t, &fakeOwner{}, func(l *settings.Limits) { l.RatePerTeam = 1 })
	ts.send(t, "POST", "/v1/work/", "domes", work)
	status, a, header := ts.send(t, "POST", "/v1/work/", "domes", work)
	qt.Assert(t, status, qt.Equals, http.StatusTooManyRequests)
	qt.Assert(t, a.State, qt.Equals, task.NotRun)
	qt.Assert(t, header.Get("Retry-After"), qt.Equals, "1")
	_, a, _ = ts.send(t, "POST", "/v1/work/", "domes", strings.Replace(work, `, "FirstTry": true`, "", 1))
	qt.Assert(t, a.State, qt.Equals, task.Unknown, qt.Commentf("an earlier try may have run"))
	status, _, _ = ts.send(t, "POST", "/v1/work/", "plants", work)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
}

func TestOpenRequestsOfOneTeamAreBounded(t *testing.T) {
	ts := newTestServer(t, &fakeOwner{blocking: true}, func(l *settings.Limits) { l.OpenPerTeam = 1 })
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, "POST", ts.URL+"/v1/work/", strings.NewReader(work))
	qt.Assert(t, err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer t-domes")
	done := make(chan struct{})
	go func() {
		defer close(done)
		if response, err := http.DefaultClient.Do(request); err == nil {
			response.Body.Close()
		}
	}()
	for ts.owner.calls.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	status, _, _ := ts.send(t, "GET", "/v1/work/hold-1", "domes", "")
	qt.Check(t, status, qt.Equals, http.StatusTooManyRequests)
	status, _, _ = ts.send(t, "GET", "/v1/work/hold-1", "plants", "")
	qt.Check(t, status, qt.Equals, http.StatusAccepted)
	cancel()
	<-done
}

func TestAnswerComesByTheDeadline(t *testing.T) {
	ts := newTestServer(t, &fakeOwner{blocking: true}, nil)
	deadline := time.Now().Add(400 * time.Millisecond)
	body := strings.Replace(work, `"FirstTry"`, fmt.Sprintf(`"Deadline": %q, "FirstTry"`, deadline.Format(time.RFC3339Nano)), 1)
	status, a, _ := ts.send(t, "POST", "/v1/work/", "domes", body)
	qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
	qt.Assert(t, status, qt.Equals, http.StatusGatewayTimeout)
	qt.Assert(t, a.State, qt.Equals, task.Unknown)
	qt.Assert(t, ts.owner.lastWork.Load().Deadline.Before(deadline.Add(-50*time.Millisecond)), qt.IsTrue)
}

// TestOverdueWorkIsSentToItsOwner checks that work is sent to its owner even after the
// deadline, since only the owner knows whether an earlier submission of it ran. The wait
// for the owner's answer is short.
func TestOverdueWorkIsSentToItsOwner(t *testing.T) {
	late := strings.Replace(work, `"FirstTry"`, `"Deadline": "2020-01-01T00:00:00Z", "FirstTry"`, 1)
	ts := newTestServer(t, &fakeOwner{}, nil)
	_, a, _ := ts.send(t, "POST", "/v1/work/", "domes", late)
	qt.Assert(t, a.State, qt.Equals, task.Ran)
	qt.Assert(t, ts.owner.lastWork.Load().Deadline.Before(time.Now()), qt.IsTrue)

	ts = newTestServer(t, &fakeOwner{blocking: true}, nil)
	sent := time.Now()
	_, a, _ = ts.send(t, "POST", "/v1/work/", "domes", late)
	qt.Assert(t, a.State, qt.Equals, task.Unknown)
	qt.Assert(t, a.Code, qt.Equals, caller.CodeNoAnswer)
	qt.Assert(t, time.Since(sent) < 5*time.Second, qt.IsTrue)
}

func TestWaitTimeoutReturnsCurrentStatus(t *testing.T) {
	ts := newTestServer(t, &fakeOwner{blocking: true}, func(l *settings.Limits) { l.Wait = quantity.Duration(50 * time.Millisecond) })
	status, a, header := ts.send(t, "GET", "/v1/work/nightly/answer", "domes", "")
	qt.Assert(t, status, qt.Equals, http.StatusAccepted)
	qt.Assert(t, a.State, qt.Equals, task.Accepted)
	qt.Assert(t, header.Get("Retry-After"), qt.Equals, "1")
}

func TestStoppingHostReleasesWaitingCallersOfBatchWork(t *testing.T) {
	ts := newTestServer(t, &fakeOwner{blocking: true}, nil)
	close(ts.stopping)
	_, a, _ := ts.send(t, "POST", "/v1/work/?wait", "domes", strings.Replace(work, "Request", "Batch", 1))
	qt.Assert(t, a.State, qt.Equals, task.Accepted)
}

func FuzzSubmit(f *testing.F) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := settings.Settings{Teams: map[string]settings.Team{"domes": {Token: "t-domes"}}}.WithDefaults()
	handler := caller.Handler(caller.Options{Settings: s, Region: "centro", Owners: &fakeOwner{}, Log: log})
	f.Add(work)
	f.Add(`{"ID": "a", "Kind": "Batch", "Tasks": 3, "RunTime": "1h", "Size": {"Processors": 1e9}}`)
	f.Add(`{"Size": {"Memory": "1TiB"}}`)
	f.Fuzz(func(t *testing.T, body string) {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest("POST", "/v1/work/", strings.NewReader(body))
		request.Header.Set("Authorization", "Bearer t-domes")
		handler.ServeHTTP(recorder, request)
		var a caller.Answer
		if err := json.Unmarshal(recorder.Body.Bytes(), &a); err != nil {
			t.Fatalf("answer %q: %v", recorder.Body, err)
		}
		if a.State == "" || (a.State == task.NotRun && a.Reason == "") {
			t.Fatalf("answer without a state or reason: %+v", a)
		}
	})
}
